import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send bodies of the largest allowed size at the same time. */
final class LargeBodies {
    private static final int BODY_BYTES = 4_000_000;

    public static void main(String[] arguments) {
        Lab.run(arguments, 1, LargeBodies::run);
    }

    private static int run(Lab lab) throws Exception {
        int clients = Integer.getInteger("clients", 24);
        int size = Integer.getInteger("bytes", BODY_BYTES);
        AtomicInteger ran = new AtomicInteger();
        java.util.Set<String> ranIds = java.util.concurrent.ConcurrentHashMap.newKeySet();
        for (int i = 1; i <= 3; i++) {
            Engine engine =
                    new Engine(
                            lab.engineAddress(i),
                            "i-7f3a91c" + i,
                            0,
                            (self, head, input, socket) -> {
                                Http.readRequestBody(head, input);
                                ran.incrementAndGet();
                                ranIds.add(head.header("X-Rattanport-Attempt-Id"));
                                Thread.sleep(1000);
                                Engine.send(socket, "200 OK", Engine.seal(head), "done");
                                return true;
                            });
            lab.register(engine, "wuno96b", 60);
        }
        lab.putDocument(Lab.NON_IDEMPOTENT);
        lab.startAll();
        byte[] body = new byte[size];
        Arrays.fill(body, (byte) 'x');
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger closed = new AtomicInteger();
        AtomicInteger closedRan = new AtomicInteger();
        for (int round = 0; round < 4; round++) {
            CountDownLatch done = new CountDownLatch(clients);
            for (int i = 0; i < clients; i++) {
                int n = i;
                Thread.ofVirtual().start(() -> {
                    String id = Client.newId();
                    try (Client client = new Client(lab.gateway(0).front())) {
                        // a kept connection
                        client.send("POST", "/book/2f", id + "k", 8_000, "", new byte[10]);
                        Client.Answer first = client.receive(9_000);
                        client.send("POST", "/book/2f", id, 8_000, "", body);
                        Client.Answer answer = client.receive(9_000);
                        if (answer.status() == 0) {
                            closed.incrementAndGet();
                            if (ranIds.contains(id)) closedRan.incrementAndGet();
                        } else answered.incrementAndGet();
                        lab.log("client " + n + " first " + first.status() + first.end() + " then " + answer.status() + " " + answer.end());
                    } catch (Exception e) {
                        lab.log("client " + n + " " + e);
                    } finally { done.countDown(); }
                });
            }
            done.await(40, TimeUnit.SECONDS);
            lab.log("round " + round + " answered " + answered + " closed " + closed + " closed though run " + closedRan + " ready " + lab.gateway(0).isReady());
        }
        Thread.sleep(5000);
        lab.putDocument(Lab.NON_IDEMPOTENT, Lab.IDEMPOTENT);
        Thread.sleep(3000);
        try (Client client = new Client(lab.gateway(0).front())) {
            client.send("GET", "/read/2f", Client.newId(), 5000, "", new byte[0]);
            Client.Answer a = client.receive(6000);
            lab.log("new route: " + a.status() + " " + a.end());
            return a.status() == 200 ? Lab.HELD : Lab.BROKEN;
        }
    }
}
