package org.rattanport.decisions.poison;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.gateway.RequestContent;
import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.peer.Rumor;
import org.rattanport.kernel.time.ManualTimeSource;

/** Which contents are blocked after crashes, at several instances that exchange rumors. */
final class CrashAttributionTest {
    private static final Duration SETTLED = Duration.ofSeconds(1);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final List<Instance> mInstances = new ArrayList<>();
    private final Instance mFirst = new Instance();
    private final Instance mSecond = new Instance();
    private int mRequests;

    private RequestContent request(String... parts) {
        mRequests++;
        return new RequestContent(
                Fingerprint.of("request", "" + mRequests),
                Arrays.stream(parts).map(part -> Fingerprint.of("part", part)).toList());
    }

    private static TargetId engine(int number) {
        return new TargetId("engine-" + number, 1);
    }

    private void crash(Instance instance, int engine, RequestContent... waiting) {
        for (RequestContent each : waiting) {
            List<Fingerprint> suspects = new ArrayList<>(each.sharedParts());
            suspects.add(each.request());
            instance.mAttribution.recordCrash(engine(engine), suspects);
        }
        deliverRumors();
    }

    /** Ten crashes with the part at fault, eight of them beside one popular part. */
    private void crashTenEnginesBesideBystanders() {
        IntStream.range(0, 10)
                .forEach(
                        i ->
                                crash(
                                        mFirst,
                                        i,
                                        request("deadly"),
                                        i < 8 ? request("popular") : request("rare-" + i)));
    }

    private void run(Instance instance, RequestContent request) {
        instance.mAttribution.recordSoundRun(request.sharedParts());
    }

    private boolean isBlocked(Instance instance, RequestContent request) {
        Optional<Fingerprint> found = instance.mAttribution.findBlocked(request);
        assertThat(instance.mAttribution.blockedContent(request)).isEqualTo(found);
        return found.isPresent();
    }

    private void deliverRumors() {
        boolean hasDelivered = true;
        while (hasDelivered) {
            hasDelivered = mInstances.stream().map(Instance::deliverOne).toList().contains(true);
        }
    }

    /** An instance whose rumors go to all others. */
    private final class Instance {
        private final Deque<Rumor> mRumors = new ArrayDeque<>();
        private final CrashAttribution mAttribution =
                new CrashAttribution(
                        mTime, mRumors::add, this::addUrgent, new Random(mInstances.size()));
        private int mSentRumors;
        private int mUrgentRumors;

        private Instance() {
            mInstances.add(this);
        }

        private void addUrgent(Rumor rumor) {
            mUrgentRumors++;
            mRumors.add(rumor);
        }

        private boolean deliverOne() {
            if (mRumors.isEmpty()) {
                return false;
            }
            mSentRumors++;
            Rumor rumor = mRumors.remove();
            mInstances.stream()
                    .filter(each -> each != this)
                    .forEach(each -> each.mAttribution.receive(rumor));
            return true;
        }
    }

    @Nested
    final class CompletedRequests {
        /** An instance that never ran the request told a later one to refuse it. */
        @Test
        void shouldNotBeBlockedAtInstancesThatStartLater() {
            RequestContent request = request();
            IntStream.range(0, 3).forEach(i -> crash(mSecond, i, request));
            assertThat(isBlocked(mFirst, request)).isTrue();
            mFirst.mAttribution.recordCompletion(request.request());
            deliverRumors();
            Instance later = new Instance();
            mSecond.mAttribution.retell();
            deliverRumors();
            assertThat(isBlocked(mSecond, request)).isFalse();
            assertThat(isBlocked(later, request)).isFalse();
        }
    }

    @Nested
    final class PartsAtFault {
        @Test
        void shouldBeBlockedEverywhereAfterCrashesSeenByDifferentInstances() {
            crash(mFirst, 1, request("deadly"));
            crash(mSecond, 2, request("deadly"));
            crash(mFirst, 3, request("deadly"));
            mTime.advance(SETTLED);
            assertThat(isBlocked(mFirst, request("deadly", "other"))).isTrue();
            assertThat(isBlocked(mSecond, request("deadly"))).isTrue();
        }

        @Test
        void shouldCountAnEngineOnceHoweverManyRequestsItTook() {
            crash(mFirst, 1, request("deadly"), request("deadly"), request("deadly"));
            crash(mSecond, 1, request("deadly"));
            mTime.advance(SETTLED);
            assertThat(isBlocked(mFirst, request("deadly"))).isFalse();
        }

        @Test
        void shouldStayBlockedForTheRetentionOnly() {
            IntStream.range(0, 3).forEach(i -> crash(mFirst, i, request("deadly")));
            mTime.advance(Duration.ofMinutes(50));
            assertThat(isBlocked(mFirst, request("deadly"))).isTrue();
            mTime.advance(Duration.ofMinutes(11));
            crash(mFirst, 9, request("unrelated"));
            crash(mFirst, 10, request("unrelated"));
            crash(mFirst, 11, request("unrelated"));
            crash(mFirst, 12, request("unrelated"));
            assertThat(isBlocked(mFirst, request("deadly"))).isFalse();
        }

        @Test
        void shouldBeBlockedWhenEnginesRanThemBefore() {
            run(mFirst, request("changed"));
            run(mSecond, request("changed"));
            IntStream.range(0, 8).forEach(i -> crash(mFirst, i, request("changed")));
            mTime.advance(Duration.ofSeconds(3));
            assertThat(isBlocked(mFirst, request("changed"))).isTrue();
            assertThat(isBlocked(mSecond, request("changed"))).isTrue();
        }
    }

    @Nested
    final class Bystanders {
        @Test
        void shouldNotBeBlockedForCrashesWithALikelierSuspect() {
            crashTenEnginesBesideBystanders();
            mTime.advance(SETTLED);
            assertThat(isBlocked(mFirst, request("deadly"))).isTrue();
            assertThat(isBlocked(mFirst, request("popular"))).isFalse();
            assertThat(isBlocked(mSecond, request("popular"))).isFalse();
        }

        @Test
        void shouldNotBeBlockedAsRepeatedRequests() {
            RequestContent repeated = request("popular");
            IntStream.range(0, 5)
                    .forEach(
                            i -> crash(mFirst, i, request("deadly"), i < 3 ? repeated : request()));
            mTime.advance(SETTLED);
            assertThat(isBlocked(mFirst, repeated)).isFalse();
        }

        @Test
        void shouldNotBeBlockedWhileAnyInstanceSeesThemRun() {
            run(mSecond, request("popular"));
            IntStream.range(0, 4).forEach(i -> crash(mFirst, i, request("popular")));
            mTime.advance(SETTLED);
            assertThat(isBlocked(mFirst, request("popular"))).isFalse();
            run(mSecond, request("popular"));
            crash(mFirst, 5, request("popular"));
            mTime.advance(Duration.ofSeconds(5));
            assertThat(isBlocked(mFirst, request("popular"))).isFalse();
        }

        @Test
        void shouldBeFreeAgainOnceTheyRan() {
            IntStream.range(0, 3).forEach(i -> crash(mFirst, i, request("popular")));
            mTime.advance(SETTLED);
            assertThat(isBlocked(mSecond, request("popular"))).isTrue();
            run(mFirst, request("popular"));
            run(mSecond, request("popular"));
            assertThat(isBlocked(mFirst, request("popular"))).isFalse();
            assertThat(isBlocked(mSecond, request("popular"))).isFalse();
        }
    }

    @Nested
    final class Companions {
        @Test
        void shouldNotBeBlockedAloneWhileNothingTellsThemApart() {
            IntStream.range(0, 4).forEach(i -> crash(mFirst, i, request("companion", "deadly")));
            mTime.advance(SETTLED);
            assertThat(isBlocked(mFirst, request("companion", "deadly"))).isTrue();
            assertThat(isBlocked(mFirst, request("companion"))).isFalse();
        }

        @Test
        void shouldNotHideThePartAtFaultOnceTheyRan() {
            run(mSecond, request("companion"));
            IntStream.range(0, 3).forEach(i -> crash(mFirst, i, request("companion", "deadly")));
            mTime.advance(SETTLED);
            assertThat(isBlocked(mFirst, request("companion"))).isFalse();
            assertThat(isBlocked(mFirst, request("other", "deadly"))).isTrue();
        }

        @Test
        void shouldNotHideThePartAtFaultWhenItComesWithOthers() {
            IntStream.range(0, 5).forEach(i -> crash(mFirst, i, request("companion", "deadly")));
            crash(mFirst, 5, request("other", "deadly"));
            crash(mFirst, 6, request("third", "deadly"));
            mTime.advance(SETTLED);
            assertThat(isBlocked(mFirst, request("fourth", "deadly"))).isTrue();
            assertThat(isBlocked(mFirst, request("companion"))).isFalse();
        }
    }

    @Nested
    final class WholeRequests {
        @Test
        void shouldBeBlockedAtOnceAfterTheThirdCrash() {
            RequestContent poison = request();
            IntStream.range(0, 3).forEach(i -> crash(mFirst, i, poison));
            assertThat(isBlocked(mFirst, poison)).isTrue();
            assertThat(isBlocked(mSecond, poison)).isTrue();
            assertThat(isBlocked(mFirst, request())).isFalse();
        }

        @Test
        void shouldBeFreeAgainAfterACompletion() {
            RequestContent request = request();
            IntStream.range(0, 3).forEach(i -> crash(mFirst, i, request));
            mFirst.mAttribution.recordCompletion(request.request());
            assertThat(isBlocked(mFirst, request)).isFalse();
        }
    }

    @Nested
    final class InstancesThatStartLater {
        @Test
        void shouldLearnWhatIsAtFaultButNotTheBystanders() {
            crashTenEnginesBesideBystanders();
            Instance later = new Instance();
            assertThat(isBlocked(later, request("deadly"))).isFalse();
            mSecond.mAttribution.retell();
            deliverRumors();
            mTime.advance(SETTLED);
            assertThat(isBlocked(later, request("deadly"))).isTrue();
            assertThat(isBlocked(later, request("popular"))).isFalse();
        }
    }

    @Nested
    final class Rumors {
        @Test
        void shouldBeUrgentOnlyFromTheSecondCrashOfAContent() {
            crash(mFirst, 1, request("one"), request("other"));
            assertThat(mFirst.mUrgentRumors + mSecond.mUrgentRumors).isEqualTo(0);
            crash(mSecond, 2, request("one"));
            assertThat(mSecond.mUrgentRumors).isEqualTo(1);
            assertThat(mFirst.mUrgentRumors).isEqualTo(1);
        }

        @Test
        void shouldEndAlsoWhenInstancesContradictEachOther() {
            run(mFirst, request("popular"));
            run(mSecond, request("popular"));
            crash(mFirst, 1, request("popular"));
            crash(mSecond, 1, request("popular"));
            int sent = mFirst.mSentRumors + mSecond.mSentRumors;
            assertThat(sent).isAtMost(12);
        }
    }
}
