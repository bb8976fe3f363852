package org.rattanport.connectors.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.connectors.peer.protocol.Frame;
import org.rattanport.kernel.environment.DocumentVersion;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.ColdLimit;
import org.rattanport.kernel.gateway.EngineGroup;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.Evacuations;
import org.rattanport.kernel.gateway.FleetSource.RegistryChange;
import org.rattanport.kernel.gateway.FleetUpdate;
import org.rattanport.kernel.gateway.PlacementDemand;
import org.rattanport.kernel.gateway.PromptPart;
import org.rattanport.kernel.gateway.PromptSize;
import org.rattanport.kernel.gateway.RateLimit;
import org.rattanport.kernel.gateway.RateLimitUpdate;
import org.rattanport.kernel.gateway.StorePosition;
import org.rattanport.kernel.gateway.WorkUpdate;
import org.rattanport.kernel.model.Fingerprint;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.model.RequestId;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.Rumor;
import org.rattanport.kernel.request.Explanation;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.SystemTimeSource;

/** Checks requests, one-way messages and the codec of the peer network. */
final class PeerNetworkTest {
    private static final String SECRET = "the-secret-of-the-fleet";
    private static final String ANY_PORT = "127.0.0.1:0";

    private final SystemTimeSource mTime = new SystemTimeSource();
    private final NettyPeerNetwork mServer = new NettyPeerNetwork(ANY_PORT, SECRET, mTime);

    PeerNetworkTest() {
        mServer.registerHandler(
                PeerMessage.IndirectPing.class, request -> new PeerMessage.IndirectAck(true));
    }

    @AfterEach
    void close() {
        mServer.close();
    }

    @Nested
    final class Requests {
        @Test
        void shouldReceiveAResponse() {
            assertThat(sendRequest(SECRET)).isEqualTo(new PeerMessage.IndirectAck(true));
        }

        @Test
        void shouldFailWithAnotherSecret() {
            RattanportException error =
                    assertThrows(
                            RattanportException.class,
                            () -> sendRequest("another-secret-entirely"));
            assertThat(error.code()).isEqualTo(ErrorCode.PEER_UNREACHABLE);
        }

        @Test
        void shouldFailWhenThePeerDoesNotListen() {
            String address = mServer.boundAddress();
            mServer.close();
            try (NettyPeerNetwork client = new NettyPeerNetwork(ANY_PORT, SECRET, mTime)) {
                RattanportException error =
                        assertThrows(
                                RattanportException.class,
                                () ->
                                        client.call(
                                                address,
                                                new PeerMessage.IndirectPing("x"),
                                                deadline()));
                assertThat(error.code()).isEqualTo(ErrorCode.PEER_UNREACHABLE);
            }
        }
    }

    @Nested
    final class RandomBytes {
        @Test
        void shouldNotPreventThePortFromServing() throws Exception {
            Random random = new Random(5);
            for (int i = 0; i < 20; i++) {
                byte[] garbage = new byte[1 + random.nextInt(4000)];
                random.nextBytes(garbage);
                send(garbage);
            }
            // The length field of this frame is far above the limit.
            send(new byte[] {0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1, 2, 3});
            assertThat(sendRequest(SECRET)).isEqualTo(new PeerMessage.IndirectAck(true));
        }

        private void send(byte[] bytes) throws Exception {
            String address = mServer.boundAddress();
            int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port));
                OutputStream output = socket.getOutputStream();
                output.write(bytes);
                output.flush();
            }
        }
    }

    @Nested
    final class Codec {
        private final PeerCodec mCodec = new PeerCodec();
        private final Member mMember =
                new Member(new InstanceId("a", 7), "c:1", "p:2", "dc", MemberState.SUSPECT, 3);

        @Test
        void shouldRoundTripEveryMessage() {
            TargetId target = new TargetId("engine", 4);
            List<Rumor> rumors =
                    List.of(
                            new Rumor.MemberRumor(mMember),
                            new Rumor.TargetDraining(target),
                            new Rumor.RequestSuspected(Fingerprint.of("x"), target),
                            new Rumor.SuspicionWithdrawn(Fingerprint.of("x"), -5));
            DocumentVersion version =
                    new DocumentVersion("e", Stage.TRIAL, 3, "id", "me", 5, 2, "{\"a\": 1}");
            List.of(
                            new PeerMessage.Ping(mMember, 1, 2, rumors),
                            new PeerMessage.Ack(mMember, 3, 4, rumors),
                            new PeerMessage.IndirectPing("p:9"),
                            new PeerMessage.IndirectAck(false),
                            new PeerMessage.MembersRequest(mMember),
                            new PeerMessage.MembersReply(List.of(mMember)),
                            new PeerMessage.DocumentRequest(Stage.TRIAL),
                            new PeerMessage.DocumentReply(List.of(version)),
                            new PeerMessage.QuotaRequest(
                                    Stage.PRODUCTION,
                                    List.of(new PeerMessage.QuotaDemand("x", 5, 9))),
                            new PeerMessage.QuotaReply(List.of(5L)),
                            new PeerMessage.ExplainRequest("req-1"),
                            new PeerMessage.ExplainReply(
                                    List.of(
                                            new Explanation(
                                                    new RequestId("req-1"),
                                                    List.of(new Explanation.Step(3, "did"))))),
                            new PeerMessage.WorkUpdates(
                                    List.of(
                                            new WorkUpdate.Placed(work()),
                                            new WorkUpdate.Decoding("attempt-1"),
                                            new WorkUpdate.Ended("attempt-1"),
                                            new WorkUpdate.EngineFailed("attempt-1", "e", 2),
                                            new WorkUpdate.EngineSlow("attempt-1", "e", 5),
                                            new WorkUpdate.EngineSlow("attempt-1", "e", 1))),
                            new PeerMessage.PlacementRequest(
                                    demand(Optional.of(new PromptSize(5_000, 300))),
                                    List.of(new WorkUpdate.Ended("attempt-0"))),
                            new PeerMessage.PlacementRequest(demand(Optional.empty()), List.of()),
                            new PeerMessage.PlacementRequest(
                                    demand(Optional.empty()).waiting(Duration.ofMillis(250)),
                                    List.of()),
                            new PeerMessage.WorkUpdates(
                                    List.of(new WorkUpdate.Placed(deferredWork()))),
                            new PeerMessage.PlacementReply(
                                    Optional.of(work()), 2, Optional.of(Duration.ofMillis(300))),
                            new PeerMessage.PlacementReply(Optional.of(work()), 0.5),
                            new PeerMessage.PlacementReply(Optional.empty(), 0),
                            new PeerMessage.PendingPrefillRequest("engine"),
                            new PeerMessage.PendingPrefillReply(120),
                            new PeerMessage.Received(),
                            new PeerMessage.Unhandled())
                    .forEach(this::checkRoundTrip);
        }

        @Test
        void shouldRoundTripMessagesAboutTheStore() {
            List.of(
                            new PeerMessage.FleetRequest(7, StorePosition.UNREAD, 500),
                            new PeerMessage.FleetRequest(7, new StorePosition(3, 12), 500),
                            new PeerMessage.FleetReply(
                                    new FleetUpdate(
                                            false, AGES, Optional.empty(), Optional.empty())),
                            new PeerMessage.FleetReply(
                                    new FleetUpdate(
                                            true, AGES, Optional.empty(), Optional.of(registry()))),
                            new PeerMessage.FleetRequest(
                                    7, StorePosition.UNREAD, new StorePosition(2, 5), 500),
                            new PeerMessage.FleetReply(
                                    new FleetUpdate(
                                            true,
                                            AGES,
                                            Optional.empty(),
                                            Optional.empty(),
                                            Optional.of(
                                                    new FleetUpdate.EvacuationUpdate(
                                                            new Evacuations(
                                                                    new StorePosition(2, -1),
                                                                    Set.of("dc")),
                                                            120)))))
                    .forEach(this::checkRoundTrip);
        }

        @Test
        void shouldRoundTripThePartsOfAPrompt() {
            List<PromptPart> parts =
                    List.of(new PromptPart("5c1e07a2", 800), new PromptPart("e4402b7d", 250));
            checkRoundTrip(
                    new PeerMessage.PlacementRequest(demand(Optional.empty(), parts), List.of()));
        }

        @Test
        void shouldRoundTripMessagesAboutRateLimits() {
            List.of(
                            new PeerMessage.RateLimitRequest(
                                    rateLimit(Optional.of(new RateLimit(0.2))),
                                    new InstanceId("a", 7),
                                    4,
                                    true),
                            new PeerMessage.RateLimitRequest(
                                    rateLimit(Optional.empty()),
                                    new InstanceId("a", 7),
                                    4,
                                    false,
                                    Optional.of(new ColdLimit(26, Duration.ofMillis(1_200)))),
                            new PeerMessage.RateLimitReply(
                                    rateLimit(Optional.of(new RateLimit(0))), true, 120),
                            new PeerMessage.RateLimitReport(rateLimit(Optional.empty())))
                    .forEach(this::checkRoundTrip);
        }

        private void checkRoundTrip(PeerMessage message) {
            assertThat(mCodec.decode(mCodec.encode(message).build())).hasValue(message);
        }
    }

    private static RateLimitUpdate rateLimit(Optional<RateLimit> limit) {
        return new RateLimitUpdate("e", 9, limit, "a#7", 12, Duration.ofMillis(350));
    }

    private static PlacementDemand demand(Optional<PromptSize> size) {
        return demand(size, List.of());
    }

    private static PlacementDemand demand(Optional<PromptSize> size, List<PromptPart> parts) {
        return new PlacementDemand(
                "attempt-1",
                "service",
                new EngineGroup(2, 7),
                size,
                Duration.ofMillis(300),
                Duration.ofMillis(200),
                parts,
                Set.of("engine"));
    }

    private static final FleetUpdate.Ages AGES = new FleetUpdate.Ages(70, 80, 90);

    private static FleetUpdate.RegistryUpdate registry() {
        BackEnd backEnd =
                new BackEnd("e", 9, "service", "10.0.0.1:80", "dc", 8, true, Duration.ofMillis(70));
        return new FleetUpdate.RegistryUpdate(
                new RegistryChange(new StorePosition(3, 12), List.of(backEnd), List.of("gone")),
                true,
                true);
    }

    private static EngineWork work() {
        return new EngineWork(
                "attempt-1",
                List.of(new EngineShare("engine", 5_000, 20, 6_000, true)),
                60,
                900,
                200,
                1);
    }

    private static EngineWork deferredWork() {
        return new EngineWork("attempt-2", work().shares(), 60, 900, 200, 1, true);
    }

    @Nested
    final class RoutingDocuments {
        @Test
        void shouldArriveByteForByte() {
            PeerCodec codec = new PeerCodec();
            byte[] document = "{\"version\": 3}".repeat(5_000).getBytes(StandardCharsets.UTF_8);
            Frame frame =
                    codec.encode(
                                    new PeerMessage.FleetReply(
                                            new FleetUpdate(
                                                    true,
                                                    AGES,
                                                    Optional.of(document),
                                                    Optional.empty())))
                            .build();
            assertThat(frame.getSerializedSize()).isLessThan(document.length / 10);
            PeerMessage.FleetReply reply =
                    (PeerMessage.FleetReply) codec.decode(frame).orElseThrow();
            assertThat(reply.update().documentSource().orElseThrow()).isEqualTo(document);
        }
    }

    @Nested
    final class LostPeers {
        @Test
        void shouldBeReportedWhenTheirConnectionBreaks() throws InterruptedException {
            CountDownLatch isReported = new CountDownLatch(1);
            try (NettyPeerNetwork client = new NettyPeerNetwork(ANY_PORT, SECRET, mTime)) {
                String address = mServer.boundAddress();
                client.lostPeers()
                        .filter(address::equals)
                        .subscribe(lost -> isReported.countDown());
                client.call(address, new PeerMessage.IndirectPing("x"), deadline());
                mServer.close();
                assertThat(isReported.await(20, TimeUnit.SECONDS)).isTrue();
            }
        }
    }

    @Nested
    final class SilentConnections {
        /** An instance asked a reader over a silent connection again and again. */
        @Test
        void shouldBeReplaced() {
            try (SilencingProxy proxy = new SilencingProxy(mServer.boundAddress());
                    NettyPeerNetwork client = new NettyPeerNetwork(ANY_PORT, SECRET, mTime)) {
                PeerMessage request = new PeerMessage.IndirectPing("x");
                client.call(proxy.address(), request, deadline());
                proxy.silenceOpenConnections();
                assertThrows(
                        RattanportException.class,
                        () ->
                                client.call(
                                        proxy.address(),
                                        request,
                                        Deadline.after(mTime, Duration.ofMillis(800))));
                assertThat(client.call(proxy.address(), request, deadline()))
                        .isEqualTo(new PeerMessage.IndirectAck(true));
            }
        }

        /** Short waits end before the connection counts as silent, and no single one shows it. */
        @Test
        void shouldBeReplacedAfterSeveralShortWaits() {
            try (SilencingProxy proxy = new SilencingProxy(mServer.boundAddress());
                    NettyPeerNetwork client = new NettyPeerNetwork(ANY_PORT, SECRET, mTime)) {
                PeerMessage request = new PeerMessage.IndirectPing("x");
                client.call(proxy.address(), request, deadline());
                proxy.silenceOpenConnections();
                Deadline end = deadline();
                while (!isAnswered(client, proxy.address(), request)) {
                    assertThat(end.remaining(mTime)).isGreaterThan(Duration.ZERO);
                }
            }
        }

        private boolean isAnswered(NettyPeerNetwork client, String address, PeerMessage request) {
            try {
                client.call(address, request, Deadline.after(mTime, Duration.ofMillis(100)));
                return true;
            } catch (RattanportException e) {
                return false;
            }
        }

        @Test
        void shouldNotBeTakenForSlowAnswers() {
            mServer.registerHandler(
                    PeerMessage.PendingPrefillRequest.class,
                    request -> {
                        mTime.sleep(Duration.ofMillis(1_500));
                        return new PeerMessage.PendingPrefillReply(1);
                    });
            try (NettyPeerNetwork client = new NettyPeerNetwork(ANY_PORT, SECRET, mTime)) {
                assertThat(
                                client.call(
                                        mServer.boundAddress(),
                                        new PeerMessage.PendingPrefillRequest("x"),
                                        deadline()))
                        .isEqualTo(new PeerMessage.PendingPrefillReply(1));
            }
        }
    }

    @Nested
    final class OneWayMessages {
        @Test
        void shouldArriveInOrder() {
            List<String> received = new CopyOnWriteArrayList<>();
            mServer.registerHandler(
                    PeerMessage.WorkUpdates.class,
                    updates -> {
                        updates.updates().forEach(update -> received.add(update.attemptId()));
                        return new PeerMessage.Received();
                    });
            try (NettyPeerNetwork client = new NettyPeerNetwork(ANY_PORT, SECRET, mTime)) {
                for (int i = 0; i < 100; i++) {
                    client.send(mServer.boundAddress(), workUpdate(i), deadline());
                }
                // The server handles this request after the one-way messages before it.
                assertThat(
                                client.call(
                                        mServer.boundAddress(),
                                        new PeerMessage.IndirectPing("x"),
                                        deadline()))
                        .isEqualTo(new PeerMessage.IndirectAck(true));
            }
            assertThat(received)
                    .containsExactlyElementsIn(
                            IntStream.range(0, 100).mapToObj(i -> "attempt-" + i).toList())
                    .inOrder();
        }

        private PeerMessage workUpdate(int number) {
            return new PeerMessage.WorkUpdates(List.of(new WorkUpdate.Ended("attempt-" + number)));
        }
    }

    private PeerMessage sendRequest(String secret) {
        try (NettyPeerNetwork client = new NettyPeerNetwork(ANY_PORT, secret, mTime)) {
            return client.call(
                    mServer.boundAddress(), new PeerMessage.IndirectPing("x"), deadline());
        }
    }

    private Deadline deadline() {
        return Deadline.after(mTime, Duration.ofSeconds(5));
    }
}
