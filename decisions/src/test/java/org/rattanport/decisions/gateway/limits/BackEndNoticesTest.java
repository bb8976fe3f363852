package org.rattanport.decisions.gateway.limits;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.BackEndNotice;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.peer.Rumor;
import org.rattanport.kernel.time.ManualTimeSource;

/** Orders of events in which a back end says that it leaves, or asks for a pause. */
final class BackEndNoticesTest {
    private static final String ADDRESS = "10.0.0.1:80";

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final List<BackEndNotice> mEvents = new ArrayList<>();
    private final List<Rumor> mRumors = new ArrayList<>();
    private final BackEndNotices mNotices = new BackEndNotices(mTime, mEvents::add, mRumors::add);
    private final BackEndRegistry mRegistry = new BackEndRegistry(mTime, mNotices);
    private final BackEnd mFirstRun = backEnd("a", 100);

    BackEndNoticesTest() {
        mRegistry.replace(List.of(mFirstRun));
    }

    private static BackEnd backEnd(String id, long start) {
        return new BackEnd(id, start, TestFleet.CALLS, ADDRESS, "zone", 8, false);
    }

    private static ResponseHead head(boolean isLeaving, Optional<Duration> pause) {
        return ResponseHead.builder(pause.isPresent() ? 503 : 200)
                .signed(true)
                .notRun(pause.isPresent())
                .leaving(isLeaving)
                .pause(pause)
                .build();
    }

    private void leave(BackEnd backEnd) {
        mNotices.recordResponse(backEnd, head(true, Optional.empty()));
    }

    private void pause(Duration pause) {
        mNotices.recordResponse(mFirstRun, head(false, Optional.of(pause)));
    }

    private void respond() {
        mNotices.recordResponse(mFirstRun, head(false, Optional.empty()));
    }

    private List<String> available() {
        return mRegistry.available(TestFleet.CALLS).stream().map(BackEnd::id).toList();
    }

    @Nested
    final class Leaving {
        @Test
        void shouldHoldWhileTheRegistryListsTheRunAsPresent() {
            leave(mFirstRun);
            mRegistry.apply(List.of(mFirstRun), List.of());
            mTime.advance(Duration.ofMinutes(5));
            mRegistry.replace(List.of(mFirstRun));
            assertThat(available()).isEmpty();
            assertThat(mRegistry.findAvailable("a")).isEmpty();
        }

        @Test
        void shouldHoldWhenAnOldEntryIsReadAfterARemoval() {
            leave(mFirstRun);
            mRegistry.apply(List.of(), List.of("a"));
            mRegistry.apply(List.of(backEnd("a", 50)), List.of());
            assertThat(available()).isEmpty();
        }

        @Test
        void shouldHoldAfterAResponseWithoutTheNotice() {
            leave(mFirstRun);
            respond();
            assertThat(available()).isEmpty();
        }

        @Test
        void shouldEndWhenALaterRunIsRegistered() {
            leave(mFirstRun);
            mRegistry.apply(List.of(backEnd("a", 101)), List.of());
            assertThat(available()).containsExactly("a");
        }

        @Test
        void shouldNotConcernAnotherBackEndAtTheAddress() {
            leave(mFirstRun);
            mRegistry.apply(List.of(backEnd("b", 101)), List.of("a"));
            assertThat(available()).containsExactly("b");
        }

        @Test
        void shouldNotConcernTheNextRunWhenItIsLearnedLate() {
            mRegistry.apply(List.of(backEnd("a", 101)), List.of());
            leave(mFirstRun);
            assertThat(available()).containsExactly("a");
        }

        @Test
        void shouldNotReplaceTheNoticeOfALaterRunWhenItIsLearnedLate() {
            BackEnd later = backEnd("a", 101);
            mRegistry.apply(List.of(later), List.of());
            mNotices.recordResponse(later, head(false, Optional.of(Duration.ofSeconds(5))));
            leave(mFirstRun);
            assertThat(available()).isEmpty();
        }

        @Test
        void shouldBeReportedOnce() {
            leave(mFirstRun);
            leave(mFirstRun);
            assertThat(mEvents).containsExactly(new BackEndNotice("a", BackEndNotice.Kind.LEAVING));
        }
    }

    /** Each instance had to be told by the back end itself. */
    @Nested
    final class News {
        private final Rumor mNews = new Rumor.TargetDraining(new TargetId("a", 100));

        @Test
        void shouldBeToldOnceAboutABackEndThatLeaves() {
            leave(mFirstRun);
            leave(mFirstRun);
            assertThat(mRumors).containsExactly(mNews);
        }

        @Test
        void shouldKeepRequestsAwayAndBeToldOn() {
            mNotices.receive(mNews);
            mNotices.receive(mNews);
            assertThat(available()).isEmpty();
            assertThat(mRumors).containsExactly(mNews);
        }

        @Test
        void shouldHoldWhenTheRunIsRegisteredLater() {
            BackEndNotices notices = new BackEndNotices(mTime, mEvents::add, mRumors::add);
            BackEndRegistry registry = new BackEndRegistry(mTime, notices);
            notices.receive(mNews);
            registry.replace(List.of(mFirstRun));
            assertThat(registry.available(TestFleet.CALLS)).isEmpty();
        }

        @Test
        void shouldNotConcernALaterRun() {
            mRegistry.apply(List.of(backEnd("a", 101)), List.of());
            mNotices.receive(mNews);
            assertThat(available()).containsExactly("a");
        }

        @Test
        void shouldNotFollowFromAResponseWithoutSignature() {
            mNotices.recordResponse(mFirstRun, ResponseHead.builder(200).leaving(true).build());
            assertThat(available()).isEmpty();
            assertThat(mRumors).isEmpty();
        }

        @Test
        void shouldNotBeToldAboutAPause() {
            pause(Duration.ofSeconds(5));
            assertThat(mRumors).isEmpty();
        }
    }

    @Nested
    final class Pause {
        @Test
        void shouldHoldForItsWholeTime() {
            pause(Duration.ofHours(2));
            mTime.advance(Duration.ofHours(2).minusMillis(1));
            assertThat(available()).isEmpty();
            mTime.advance(Duration.ofMillis(1));
            assertThat(available()).containsExactly("a");
        }

        @Test
        void shouldNotBeShortenedByALaterResponse() {
            pause(Duration.ofSeconds(5));
            pause(Duration.ofSeconds(1));
            respond();
            mTime.advance(Duration.ofSeconds(4));
            assertThat(available()).isEmpty();
        }

        @Test
        void shouldEndWithOneRequestThatGoesFirst() {
            pause(Duration.ofSeconds(1));
            mTime.advance(Duration.ofSeconds(1));
            assertThat(mNotices.tryUse(mFirstRun)).isTrue();
            assertThat(mNotices.tryUse(mFirstRun)).isFalse();
            respond();
            assertThat(mNotices.tryUse(mFirstRun)).isTrue();
            assertThat(mNotices.tryUse(mFirstRun)).isTrue();
        }

        @Test
        void shouldLetAnotherRequestTryWhenTheFirstFailsOrIsSilent() {
            pause(Duration.ofSeconds(1));
            mTime.advance(Duration.ofSeconds(1));
            assertThat(mNotices.tryUse(mFirstRun)).isTrue();
            mNotices.recordFailure("a");
            assertThat(mNotices.tryUse(mFirstRun)).isTrue();
            mTime.advance(Duration.ofSeconds(1));
            assertThat(mNotices.tryUse(mFirstRun)).isTrue();
        }

        @Test
        void shouldBeginAgainWhenTheFirstRequestIsRefusedWithAnother() {
            pause(Duration.ofSeconds(1));
            mTime.advance(Duration.ofSeconds(1));
            assertThat(mNotices.tryUse(mFirstRun)).isTrue();
            pause(Duration.ofSeconds(3));
            assertThat(available()).isEmpty();
            assertThat(mRegistry.shortestWait(TestFleet.CALLS)).hasValue(Duration.ofSeconds(3));
        }

        @Test
        void shouldNotBeTheShortestOfTheServiceWhileAnotherBackEndIsFree() {
            mRegistry.apply(List.of(backEnd("b", 1)), List.of());
            pause(Duration.ofSeconds(3));
            assertThat(mRegistry.shortestWait(TestFleet.CALLS)).isEmpty();
            assertThat(available()).containsExactly("b");
        }
    }
}
