package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.ScriptedBackEnds.Reaction;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.CallerLimits;
import org.rattanport.kernel.gateway.CallerRequest;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineSpec;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.GatewayAccount;
import org.rattanport.kernel.gateway.PromptPart;
import org.rattanport.kernel.gateway.RouteKind;
import org.rattanport.kernel.gateway.RoutingDocument;

/** Which placements learn of the parts of a prompt. */
final class PromptPartsTest extends ForwardingHarness {
    private static final List<PromptPart> PARTS =
            List.of(new PromptPart("5c1e07a2", 800), new PromptPart("e4402b7d", 250));

    private void serve(EngineSpec spec, int promptTokens, Reaction... reactions) {
        mRouting.activateIfNewer(
                new RoutingDocument(
                        2,
                        List.of(TestFleet.route("host", "/stream/", RouteKind.STREAMING)),
                        List.of(new BackEndService(TestFleet.ENGINES, 100, Optional.of(spec))),
                        List.of(new GatewayAccount("account", Set.of("key"), OptionalInt.empty())),
                        CallerLimits.DEFAULTS));
        CallerRequest request = TestFleet.request("/stream/a", promptTokens);
        mBackEnds.reactions().addAll(List.of(reactions));
        service()
                .serve(
                        new CallerRequest(
                                request.method(),
                                request.requestTarget(),
                                request.host(),
                                request.attemptId(),
                                request.accountKey(),
                                request.waitLimit(),
                                request.promptSize(),
                                List.of("5c1e07a2"),
                                PARTS,
                                request.lastEventId(),
                                request.headers(),
                                request.body()),
                        mCaller);
    }

    @Nested
    final class EnginesThatRetainNothing {
        /** Messages between instances must stay as they are in the present deployments. */
        @Test
        void shouldGetNoParts() {
            serve(TestFleet.ENGINE_SPEC, 1_050, Reaction.RESPOND);
            assertThat(mDemands.getLast().parts()).isEmpty();
        }
    }

    @Nested
    final class EnginesThatRetainPrompts {
        @Test
        void shouldGetAllParts() {
            serve(TestFleet.RETAINING_SPEC, 1_050, Reaction.RESPOND);
            assertThat(mDemands.getLast().parts()).isEqualTo(PARTS);
        }

        /**
         * An engine that has evicted the beginning needs 399 ms for the prompt instead of 20 ms; a
         * retry after a second would cost the fleet a second prefill.
         */
        @Test
        void shouldNotBeGivenUpWhenTheyEvictedWhatTheyWereBelievedToHold() {
            EngineShare share = new EngineShare("engine-0", 2_000, 20, 61_500, true);
            mWork = Optional.of(new EngineWork("a", List.of(share), 20, 900, 200, 1));
            serve(TestFleet.RETAINING_SPEC, 60_000, Reaction.SILENT, Reaction.RESPOND);
            Duration waited =
                    mAttempts.get(0).remainingTime().minus(mAttempts.get(1).remainingTime());
            assertThat(waited).isAtLeast(Duration.ofMillis(3 * 399));
        }
    }
}
