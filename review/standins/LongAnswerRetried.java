import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An engine breaks off a long answer to an idempotent request, and another engine runs it again. */
final class LongAnswerRetried {
    private static final String ANSWER = answerText();
    private static final int BROKEN_OFF_AFTER = 120_000;

    private static boolean sHasCrashed;

    public static void main(String[] arguments) {
        Lab.run(arguments, 1, LongAnswerRetried::run);
    }

    private static String answerText() {
        StringBuilder text = new StringBuilder();
        for (int line = 0; line < 10_000; line++) {
            text.append(String.format("line %05d of the answer%n", line));
        }
        return text.toString();
    }

    private static boolean answer(
            Lab lab, Engine engine, Http.Head head, InputStream input, Socket socket)
            throws java.io.IOException, InterruptedException {
        Http.readRequestBody(head, input);
        String id = head.header("X-Rattanport-Attempt-Id");
        lab.log("engine " + engine.id() + " runs " + id);
        boolean crashes;
        synchronized (LongAnswerRetried.class) {
            crashes = Lab.hasTrouble() && !sHasCrashed;
            sHasCrashed |= crashes;
        }
        if (!crashes) {
            Engine.send(
                    socket, "200 OK", Engine.seal(head) + "Content-Type: text/plain\r\n", ANSWER);
            lab.log("engine " + engine.id() + " has answered " + id + " with "
                    + ANSWER.length() + " bytes");
            return true;
        }
        Engine.write(
                socket,
                "HTTP/1.1 200 OK\r\n" + Engine.seal(head) + "Content-Type: text/plain\r\n"
                        + "Content-Length: " + ANSWER.length() + "\r\n\r\n"
                        + ANSWER.substring(0, BROKEN_OFF_AFTER));
        Thread.sleep(300);
        lab.log("engine " + engine.id() + " crashes after " + BROKEN_OFF_AFTER
                + " bytes of its answer to " + id);
        engine.crash();
        return false;
    }

    private static int run(Lab lab) throws Exception {
        lab.putDocument(Lab.IDEMPOTENT);
        for (int i = 1; i <= 6; i++) {
            Engine engine =
                    new Engine(
                            lab.engineAddress(i),
                            "i-7f3a91c" + i,
                            0,
                            (self, head, input, socket) -> answer(lab, self, head, input, socket));
            lab.register(engine, "wuno96b", 6);
        }
        lab.startAll();
        String id = Client.newId();
        try (Client client = new Client(lab.gateway(0).front())) {
            lab.log("client sends the idempotent request " + id);
            client.send("GET", "/read/2f", id, 8_000, "", new byte[0]);
            Client.Answer answer = client.receive(9_000);
            boolean isWhole =
                    new String(answer.body(), StandardCharsets.UTF_8).equals(ANSWER);
            lab.log(
                    "client got status " + answer.status() + ", " + answer.framing() + ", "
                            + answer.body().length + " bytes, the engine's whole body has "
                            + ANSWER.length() + ", equal: " + isWhole + ", end: " + answer.end()
                            + (answer.isComplete()
                                    ? " (complete by HTTP/1.1)"
                                    : " (seen to be broken off)"));
            if (answer.status() == 0 && !Lab.hasTrouble()) {
                return Lab.NOT_RUN;
            }
            return answer.status() == 200 && answer.isComplete() && !isWhole ? Lab.BROKEN : Lab.HELD;
        }
    }
}
