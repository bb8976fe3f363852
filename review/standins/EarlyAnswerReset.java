import java.io.InputStream;
import java.net.Socket;
import java.util.Arrays;

/** An engine answers a long request early and without a length, and crashes inside the answer. */
final class EarlyAnswerReset {
    private static final int BODY_BYTES = 4_000_000;
    private static final String PART = "half of the answer; ".repeat(100);

    public static void main(String[] arguments) {
        Lab.run(arguments, 1, EarlyAnswerReset::run);
    }

    private static boolean answer(Lab lab, Http.Head head, InputStream input, Socket socket)
            throws java.io.IOException, InterruptedException {
        lab.log("engine answers " + head.header("X-Rattanport-Attempt-Id") + " before it reads the body");
        Engine.write(
                socket,
                "HTTP/1.1 200 OK\r\n" + Engine.seal(head)
                        + "Content-Type: text/plain\r\nConnection: close\r\n\r\n" + PART);
        Thread.sleep(500);
        if (Lab.hasTrouble()) {
            lab.log("engine crashes after " + PART.length() + " bytes of its answer: reset");
            Engine.reset(socket);
            return false;
        }
        int read = Http.readRequestBody(head, input).length;
        Engine.write(socket, PART);
        lab.log("engine has read " + read + " bytes, sent the whole answer and closes in order");
        return false;
    }

    private static int run(Lab lab) throws Exception {
        Engine engine =
                new Engine(
                        lab.engineAddress(1),
                        "i-7f3a91c2",
                        65_536,
                        (self, head, input, socket) -> answer(lab, head, input, socket));
        lab.putDocument(Lab.NON_IDEMPOTENT);
        lab.register(engine, "wuno96b", 6);
        lab.startAll();
        String id = Client.newId();
        try (Client client = new Client(lab.gateway(0).front())) {
            byte[] body = new byte[BODY_BYTES];
            Arrays.fill(body, (byte) 'x');
            lab.log("client sends the request " + id + " with " + BODY_BYTES + " bytes");
            client.send("POST", "/book/2f", id, 8_000, "", body);
            Client.Answer answer = client.receive(9_000);
            lab.log(
                    "client got status " + answer.status() + ", " + answer.framing() + ", "
                            + answer.body().length + " of " + 2 * PART.length() + " bytes, end: "
                            + answer.end()
                            + (answer.isComplete()
                                    ? " (complete by HTTP/1.1)"
                                    : " (seen to be broken off)"));
            if (answer.status() == 0 && !Lab.hasTrouble()) {
                return Lab.NOT_RUN;
            }
            boolean isWhole = answer.body().length == 2 * PART.length();
            return answer.status() == 200 && answer.isComplete() && !isWhole ? Lab.BROKEN : Lab.HELD;
        }
    }
}
