package org.rattanport.connectors.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.time.SystemTimeSource;

/** Checks which connections may be reused. */
final class IdleConnectionPoolTest {
    private static final String ADDRESS = "10.0.0.1:80";

    private final EmbeddedChannel mEmbedded = new EmbeddedChannel();
    private final HttpChannel mChannel = new HttpChannel(mEmbedded);
    private final IdleConnectionPool mPool = new IdleConnectionPool(new SystemTimeSource());

    IdleConnectionPoolTest() {
        mEmbedded.pipeline().addLast(mChannel);
        mPool.release(ADDRESS, mChannel);
    }

    @Nested
    final class Acquiring {
        @Test
        void shouldReturnAnIdleConnectionOnce() {
            assertThat(mPool.acquire(ADDRESS)).hasValue(mChannel);
            assertThat(mPool.acquire(ADDRESS)).isEmpty();
        }

        @Test
        void shouldNotReturnAConnectionToAnotherAddress() {
            assertThat(mPool.acquire("10.0.0.2:80")).isEmpty();
        }

        @Test
        void shouldNotReturnAConnectionWithAnUnexpectedResponse() {
            mEmbedded.writeInbound(
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
            assertThat(mPool.acquire(ADDRESS)).isEmpty();
        }

        @Test
        void shouldNotReturnAClosedConnection() {
            mEmbedded.close();
            assertThat(mPool.acquire(ADDRESS)).isEmpty();
        }
    }

    @Nested
    final class Closing {
        @Test
        void shouldRemoveAllConnections() {
            mPool.close();
            assertThat(mPool.acquire(ADDRESS)).isEmpty();
        }
    }
}
