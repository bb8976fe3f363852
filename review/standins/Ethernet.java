import java.io.IOException;
import java.lang.foreign.Arena;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.nio.channels.Channel;

/**
 * Gives a socket the segment size of an Ethernet link. On loopback, segments are 45 times as large,
 * and so are the buffers that the system gives to the sender at the other end. Java has no option
 * for it, so this class calls the C library. Linux only.
 */
final class Ethernet {
    private static final int IPPROTO_TCP = 6;
    private static final int TCP_MAXSEG = 2;
    private static final int SEGMENT_BYTES = 1_448;

    private Ethernet() {}

    /** Sets the segment size of a socket that is not yet connected, or does not yet listen. */
    static void limitSegments(Channel channel) throws IOException {
        try (Arena arena = Arena.ofConfined()) {
            var descriptor = Class.forName("sun.nio.ch.SelChImpl").getMethod("getFDVal");
            Linker linker = Linker.nativeLinker();
            var setOption =
                    linker.downcallHandle(
                            linker.defaultLookup().find("setsockopt").orElseThrow(),
                            FunctionDescriptor.of(
                                    ValueLayout.JAVA_INT,
                                    ValueLayout.JAVA_INT,
                                    ValueLayout.JAVA_INT,
                                    ValueLayout.JAVA_INT,
                                    ValueLayout.ADDRESS,
                                    ValueLayout.JAVA_INT));
            MemorySegment value = arena.allocate(ValueLayout.JAVA_INT);
            value.set(ValueLayout.JAVA_INT, 0, SEGMENT_BYTES);
            int result =
                    (int)
                            setOption.invoke(
                                    (int) descriptor.invoke(channel),
                                    IPPROTO_TCP,
                                    TCP_MAXSEG,
                                    value,
                                    Integer.BYTES);
            if (result != 0) {
                throw new IOException("cannot set the segment size");
            }
        } catch (IOException e) {
            throw e;
        } catch (Throwable e) {
            throw new IOException(e);
        }
    }
}
