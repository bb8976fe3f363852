import java.nio.charset.StandardCharsets;

/** A stream without a length is still under way when a planned stop of its gateway ends. */
final class UnframedStopped {
    private static final int EVENTS = 24;
    private static final int INTERVAL_MILLIS = 400;
    private static final int STOP_AFTER_MILLIS = 500;

    public static void main(String[] arguments) {
        Lab.run(arguments, 2, UnframedStopped::run);
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
        lab.putDocument(Lab.LONG_STREAMING);
        lab.register(engine, "huvo11a", 11);
        lab.startAll();
        String id = Client.newId();
        try (Client client = new Client(lab.gateway(0).front())) {
            lab.log("client sends the streaming request " + id);
            client.send(
                    "POST",
                    "/review/2f",
                    id,
                    15_003,
                    "X-Rattanport-Model: m\r\nX-Rattanport-Token-Counts: 1460,80\r\n",
                    "a prompt".getBytes(StandardCharsets.US_ASCII));
            if (Lab.hasTrouble()) {
                Thread.ofVirtual()
                        .start(
                                () -> {
                                    try {
                                        Thread.sleep(STOP_AFTER_MILLIS);
                                        lab.gateway(0).signal("TERM");
                                        lab.gateway(0).process().waitFor();
                                        lab.log("the gateway's process has ended by itself");
                                    } catch (java.io.IOException | InterruptedException e) {
                                        lab.log("cannot stop the gateway: " + e);
                                    }
                                });
            }
            Client.Answer answer = client.receive(6_000);
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
