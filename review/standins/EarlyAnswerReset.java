import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Engines begin to answer long requests before they have read them, and without a length; one of
 * six crashes meanwhile.
 */
final class EarlyAnswerReset {
    private static final int ENGINES = 6;
    private static final int CLIENTS = 18;
    private static final int BODY_BYTES = 1_500_000;
    private static final int WINDOW = 65_536;
    private static final int PAUSE_MILLIS = 1_500;
    private static final String PART = "half of the answer; ".repeat(100);

    private final Lab mLab;
    private final Map<String, AtomicInteger> mBegun = new ConcurrentHashMap<>();
    private final CountDownLatch mAllBegun = new CountDownLatch(CLIENTS);
    private final CountDownLatch mDone = new CountDownLatch(CLIENTS);
    private final AtomicInteger mWhole = new AtomicInteger();
    private final AtomicInteger mFalse = new AtomicInteger();

    private EarlyAnswerReset(Lab lab) {
        mLab = lab;
    }

    public static void main(String[] arguments) {
        Lab.run(arguments, 1, lab -> new EarlyAnswerReset(lab).run());
    }

    private boolean answer(Engine engine, Http.Head head, InputStream input, Socket socket)
            throws IOException, InterruptedException {
        String id = head.header("X-Rattanport-Attempt-Id");
        Engine.write(
                socket,
                "HTTP/1.1 200 OK\r\n" + Engine.seal(head)
                        + "Content-Type: text/plain\r\nConnection: close\r\n\r\n" + PART);
        mBegun.computeIfAbsent(engine.id(), each -> new AtomicInteger()).incrementAndGet();
        mAllBegun.countDown();
        mLab.log("engine " + engine.id() + " begins to answer " + id);
        Thread.sleep(PAUSE_MILLIS);
        int read = Http.readRequestBody(head, input).length;
        Engine.write(socket, PART);
        mLab.log("engine " + engine.id() + " has read " + read + " bytes and answered " + id);
        return false;
    }

    private int run() throws Exception {
        List<Engine> engines = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) {
            Engine engine =
                    new Engine(mLab.engineAddress(i), "i-7f3a91c" + i, WINDOW, this::answer);
            engines.add(engine);
            mLab.register(engine, "wuno96b", 6);
        }
        mLab.putDocument(Lab.NON_IDEMPOTENT);
        mLab.startAll();
        for (int i = 0; i < CLIENTS; i++) {
            Thread.ofVirtual().start(this::fetch);
        }
        if (!mAllBegun.await(5, TimeUnit.SECONDS)) {
            return Lab.NOT_RUN;
        }
        if (Lab.hasTrouble()) {
            Engine victim =
                    engines.stream()
                            .max((one, other) -> Integer.compare(begun(one), begun(other)))
                            .orElseThrow();
            Thread.sleep(300);
            mLab.log("engine " + victim.id() + " crashes inside " + begun(victim) + " answers");
            victim.crash();
        }
        mDone.await(20, TimeUnit.SECONDS);
        mLab.log(
                mWhole + " answers were whole; " + mFalse
                        + " ended early and looked complete, of " + CLIENTS);
        if (!Lab.hasTrouble() && mWhole.get() < CLIENTS) {
            return Lab.NOT_RUN;
        }
        return mFalse.get() > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private int begun(Engine engine) {
        return mBegun.containsKey(engine.id()) ? mBegun.get(engine.id()).get() : 0;
    }

    private void fetch() {
        String id = Client.newId();
        try (Client client = new Client(mLab.gateway(0).front())) {
            byte[] body = new byte[BODY_BYTES];
            Arrays.fill(body, (byte) 'x');
            mLab.log("request " + id + " is sent with " + BODY_BYTES + " bytes");
            client.send("POST", "/book/2f", id, 8_000, "", body);
            Client.Answer answer = client.receive(9_000);
            int whole = 2 * PART.length();
            mLab.log(
                    "request " + id + ": status " + answer.status() + ", " + answer.framing() + ", "
                            + answer.body().length + " of " + whole + " bytes, end: " + answer.end()
                            + (answer.isComplete() ? " (complete by HTTP/1.1)" : " (broken off)"));
            if (answer.status() == 200 && answer.isComplete()) {
                (answer.body().length == whole ? mWhole : mFalse).incrementAndGet();
            }
        } catch (IOException e) {
            mLab.log("a client failed: " + e);
        } finally {
            mDone.countDown();
        }
    }
}
