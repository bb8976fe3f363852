import java.nio.charset.StandardCharsets;

/** A stream without a length passes through a gateway whose process is killed. */
final class UnframedKilled {
    private static final int EVENTS = 20;
    private static final int INTERVAL_MILLIS = 150;

    public static void main(String[] arguments) {
        Lab.run(arguments, 2, UnframedKilled::run);
    }

    private static int run(Lab lab) throws Exception {
        Engine engine =
                new Engine(
                        lab.engineAddress(1),
                        "i-7f3a91c2",
                        0,
                        (self, head, input, socket) -> {
                            Http.readRequestBody(head, input);
                            lab.log("engine runs " + head.header("X-Rattanport-Attempt-Id"));
                            Engine.write(
                                    socket,
                                    "HTTP/1.1 200 OK\r\n" + Engine.seal(head)
                                            + "Content-Type: text/event-stream\r\n"
                                            + "Connection: close\r\n\r\n");
                            for (int event = 1; event <= EVENTS; event++) {
                                Engine.write(socket, "id: " + event + "\ndata: word-" + event + "\n\n");
                                Thread.sleep(INTERVAL_MILLIS);
                            }
                            lab.log("engine has sent " + EVENTS + " events and closes in order");
                            return false;
                        });
        lab.putDocument(Lab.STREAMING);
        lab.register(engine, "huvo11a", 11);
        lab.startAll();
        String id = Client.newId();
        try (Client client = new Client(lab.gateway(0).front())) {
            lab.log("client sends the streaming request " + id);
            client.send(
                    "POST",
                    "/stream/2f",
                    id,
                    10_008,
                    "X-Rattanport-Model: m\r\nX-Rattanport-Token-Counts: 1460,80\r\n",
                    "a prompt".getBytes(StandardCharsets.US_ASCII));
            if (Lab.hasTrouble()) {
                Thread.ofVirtual()
                        .start(
                                () -> {
                                    try {
                                        Thread.sleep(1_500);
                                        lab.log("SIGKILL to the gateway's process");
                                        lab.gateway(0).process().destroyForcibly();
                                    } catch (InterruptedException e) {
                                        Thread.currentThread().interrupt();
                                    }
                                });
            }
            Client.Answer answer = client.receive(5_000);
            int events = answer.text().split("\n\n").length;
            lab.log(
                    "client got status " + answer.status() + ", " + answer.framing() + ", " + events
                            + " of " + EVENTS + " events, end: " + answer.end()
                            + (answer.isComplete()
                                    ? " (complete by HTTP/1.1)"
                                    : " (seen to be broken off)"));
            if (answer.status() != 200) {
                return Lab.NOT_RUN;
            }
            return answer.isComplete() && events < EVENTS ? Lab.BROKEN : Lab.HELD;
        }
    }
}
