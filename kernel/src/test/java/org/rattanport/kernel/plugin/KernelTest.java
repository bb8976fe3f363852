package org.rattanport.kernel.plugin;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

final class KernelTest {
    private final List<String> mEvents = new ArrayList<>();
    private final Kernel mKernel =
            new Kernel(new PluginContext(new EventStreams(), new ManualTimeSource()));

    @Nested
    final class Start {
        @Test
        void shouldStartProvidersBeforeDependents() {
            mKernel.start(
                    List.of(
                            new FakePlugin("front", Set.of(Integer.class), Set.of()),
                            new FakePlugin("middle", Set.of(String.class), Set.of(Integer.class)),
                            new FakePlugin("base", Set.of(), Set.of(String.class))));
            assertThat(mEvents)
                    .containsExactly("start base", "start middle", "start front")
                    .inOrder();
        }

        @Test
        void shouldNameTheMissingRequirement() {
            RattanportException error =
                    assertThrows(
                            RattanportException.class,
                            () ->
                                    mKernel.start(
                                            List.of(
                                                    new FakePlugin(
                                                            "front",
                                                            Set.of(Integer.class),
                                                            Set.of()))));
            assertThat(error.code()).isEqualTo(ErrorCode.PLUGIN_MISSING);
            assertThat(error).hasMessageThat().isEqualTo("front requires Integer");
        }

        @Test
        void shouldRefuseCyclicRequirements() {
            assertThrows(
                    RattanportException.class,
                    () ->
                            mKernel.start(
                                    List.of(
                                            new FakePlugin(
                                                    "a", Set.of(String.class), Set.of(Long.class)),
                                            new FakePlugin(
                                                    "b",
                                                    Set.of(Long.class),
                                                    Set.of(String.class)))));
        }
    }

    @Nested
    final class Stop {
        @Test
        void shouldStopInReverseOrderDespiteFailures() {
            mKernel.start(
                    List.of(
                            new FakePlugin("base", Set.of(), Set.of(String.class)),
                            new FakePlugin("fails", Set.of(String.class), Set.of(Long.class)),
                            new FakePlugin("front", Set.of(Long.class), Set.of())));
            mEvents.clear();
            mKernel.stop(new Deadline(0));
            assertThat(mEvents).containsExactly("stop front", "stop fails", "stop base").inOrder();
        }
    }

    @Nested
    final class Provide {
        @Test
        void shouldRefuseASecondProvider() {
            PluginContext context = mKernel.context();
            context.provide(String.class, "first");
            RattanportException error =
                    assertThrows(
                            RattanportException.class,
                            () -> context.provide(String.class, "second"));
            assertThat(error.code()).isEqualTo(ErrorCode.PLUGIN_CONFLICT);
            assertThat(context.require(String.class)).isEqualTo("first");
        }
    }

    private final class FakePlugin implements Plugin {
        private final String mName;
        private final Set<Class<?>> mRequires;
        private final Set<Class<?>> mProvides;

        private FakePlugin(String name, Set<Class<?>> requires, Set<Class<?>> provides) {
            mName = name;
            mRequires = requires;
            mProvides = provides;
        }

        @Override
        public String name() {
            return mName;
        }

        @Override
        public Set<Class<?>> requires() {
            return mRequires;
        }

        @Override
        public Set<Class<?>> provides() {
            return mProvides;
        }

        @Override
        public void start(PluginContext context) {
            mEvents.add("start " + mName);
        }

        @Override
        public void stop(Deadline deadline) {
            mEvents.add("stop " + mName);
            if (mName.equals("fails")) {
                throw new IllegalStateException("scripted");
            }
        }
    }
}
