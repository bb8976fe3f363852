import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients fetch long answers from a gateway that got SIGTERM half a second before. */
final class LongAnswerDrained {
    private static final int CLIENTS = 60;
    private static final int ANSWER_BYTES = 1_000_000;
    private static final int STEP_BYTES = 5_000;
    private static final long BYTES_PER_SECOND = 500_000;
    private static final int WINDOW = 65_536;

    private final Lab mLab;
    private final CountDownLatch mReady = new CountDownLatch(CLIENTS);
    private final CountDownLatch mStart = new CountDownLatch(1);
    private final CountDownLatch mDone = new CountDownLatch(CLIENTS);
    private final AtomicInteger mWhole = new AtomicInteger();
    private final AtomicInteger mBroken = new AtomicInteger();

    private LongAnswerDrained(Lab lab) {
        mLab = lab;
    }

    public static void main(String[] arguments) {
        Lab.run(arguments, 1, lab -> new LongAnswerDrained(lab).run());
    }

    private int run() throws Exception {
        Engine engine =
                new Engine(
                        mLab.engineAddress(1),
                        "i-7f3a91c2",
                        0,
                        (self, head, input, socket) -> {
                            Http.readRequestBody(head, input);
                            int bytes = Integer.parseInt(head.target().substring(6));
                            mLab.log(
                                    "engine runs " + head.header("X-Rattanport-Attempt-Id") + ", answers "
                                            + bytes + " bytes");
                            Engine.send(
                                    socket,
                                    "200 OK",
                                    Engine.seal(head) + "Content-Type: text/plain\r\n",
                                    "x".repeat(bytes));
                            return true;
                        });
        mLab.putDocument(Lab.NON_IDEMPOTENT);
        mLab.register(engine, "wuno96b", CLIENTS);
        mLab.startAll();
        for (int i = 0; i < CLIENTS; i++) {
            int bytes = ANSWER_BYTES + i * STEP_BYTES;
            Thread.ofVirtual().start(() -> fetch(bytes));
        }
        if (!mReady.await(20, TimeUnit.SECONDS)) {
            return Lab.NOT_RUN;
        }
        mLab.log(CLIENTS + " clients have an answer each and keep their connections");
        if (Lab.hasTrouble()) {
            mLab.gateway(0).signal("TERM");
        }
        Thread.sleep(500);
        mStart.countDown();
        mDone.await(20, TimeUnit.SECONDS);
        mLab.log(mWhole + " answers were whole, " + mBroken + " broken off");
        if (mWhole.get() + mBroken.get() < CLIENTS) {
            return Lab.NOT_RUN;
        }
        return mBroken.get() > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private void fetch(int bytes) {
        try (Client client = new Client(mLab.gateway(0).front(), BYTES_PER_SECOND, WINDOW)) {
            byte[] body = "booking".getBytes(StandardCharsets.US_ASCII);
            client.send("POST", "/book/800", Client.newId(), 8_000, "", body);
            if (client.receive(5_000).status() == 200) {
                mReady.countDown();
            }
            mStart.await();
            String id = Client.newId();
            mLab.log("request " + id + " is sent");
            client.send("POST", "/book/" + bytes, id, 8_000, "", body);
            Client.Answer answer = client.receive(5_000);
            mLab.log(
                    "request " + id + ": status " + answer.status() + ", " + answer.framing() + ", "
                            + answer.body().length + " of " + bytes + " bytes, end: "
                            + answer.end());
            boolean isWhole = answer.isComplete() && answer.body().length == bytes;
            if (answer.status() == 200) {
                (isWhole ? mWhole : mBroken).incrementAndGet();
            }
        } catch (java.io.IOException | InterruptedException e) {
            mLab.log("a client failed: " + e);
        } finally {
            mDone.countDown();
        }
    }
}
