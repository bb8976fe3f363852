package org.rattanport.benchmark;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noMethods;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.library.Architectures;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.plugin.Plugin;

/** Checks the dependencies between the modules and the rules for their code. */
final class ArchitectureTest {
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    // The annotation processor of JMH generates these classes.
                    .withImportOption(location -> !location.contains("/jmh_generated/"))
                    .importPackages("org.rattanport");

    @Nested
    final class Layers {
        @Test
        void shouldDependOnLowerLayersOnly() {
            check(
                    Architectures.layeredArchitecture()
                            .consideringOnlyDependenciesInAnyPackage("org.rattanport..")
                            .layer("kernel")
                            .definedBy("org.rattanport.kernel..")
                            .layer("decisions")
                            .definedBy("org.rattanport.decisions..")
                            .layer("connectors")
                            .definedBy("org.rattanport.connectors..")
                            .layer("daemon")
                            .definedBy("org.rattanport.daemon..")
                            .layer("platform")
                            .definedBy("org.rattanport.platform..")
                            .layer("standins")
                            .definedBy("org.rattanport.standins..")
                            .layer("benchmark")
                            .definedBy("org.rattanport.benchmark..")
                            .whereLayer("benchmark")
                            .mayNotBeAccessedByAnyLayer()
                            .whereLayer("platform")
                            .mayNotBeAccessedByAnyLayer()
                            .whereLayer("standins")
                            .mayOnlyBeAccessedByLayers("benchmark")
                            .whereLayer("daemon")
                            .mayOnlyBeAccessedByLayers("platform", "standins", "benchmark")
                            .whereLayer("connectors")
                            .mayOnlyBeAccessedByLayers(
                                    "daemon", "platform", "standins", "benchmark")
                            .whereLayer("decisions")
                            .mayOnlyBeAccessedByLayers(
                                    "connectors", "daemon", "platform", "standins", "benchmark"));
        }

        @Test
        void shouldKeepEncodingsOutOfDecisions() {
            check(
                    noClasses()
                            .that()
                            .resideInAnyPackage(
                                    "org.rattanport.kernel..", "org.rattanport.decisions..")
                            .should()
                            .dependOnClassesThat()
                            .resideInAnyPackage(
                                    "com.fasterxml..",
                                    "com.google.protobuf..",
                                    "io.netty..",
                                    "io.helidon..",
                                    "okhttp3..",
                                    "io.prometheus..",
                                    "java.net..",
                                    "java.nio.channels..",
                                    "java.io.."));
        }

        @Test
        void shouldKeepTheModelFreeOfOtherPackages() {
            check(
                    noClasses()
                            .that()
                            .resideInAPackage("org.rattanport.kernel.model..")
                            .should()
                            .dependOnClassesThat()
                            .resideOutsideOfPackages(
                                    "org.rattanport.kernel.model..", "java..", "org.jspecify.."));
        }
    }

    @Nested
    final class PlugIns {
        @Test
        void shouldHaveNamesEndingInPlugin() {
            check(
                    classes()
                            .that()
                            .implement(Plugin.class)
                            .should()
                            .haveSimpleNameEndingWith("Plugin"));
        }

        @Test
        void shouldAllBeRegistered() {
            var registered =
                    org.rattanport.kernel.plugin.Kernel.registeredPlugins().stream()
                            .map(plugin -> plugin.getClass().getName())
                            .toList();
            CLASSES.stream()
                    .filter(each -> each.isAssignableTo(Plugin.class) && !each.isInterface())
                    .forEach(
                            each ->
                                    com.google.common.truth.Truth.assertThat(registered)
                                            .contains(each.getName()));
        }
    }

    @Nested
    final class CodingRules {
        @Test
        void shouldNotSpinOrSleepOutsideTheTimeSource() {
            check(
                    noClasses()
                            .that()
                            .doNotHaveSimpleName("SystemTimeSource")
                            .should()
                            .callMethod(Thread.class, "onSpinWait")
                            .orShould()
                            .callMethod(Thread.class, "yield")
                            .orShould()
                            .callMethod(Thread.class, "sleep", long.class));
        }

        @Test
        void shouldNotStartProcesses() {
            check(
                    noClasses()
                            .should()
                            .dependOnClassesThat()
                            .belongToAnyOf(ProcessBuilder.class, Process.class));
        }

        @Test
        void shouldDeclareNoCheckedExceptionsInDecisions() {
            check(
                    noMethods()
                            .that()
                            .areDeclaredInClassesThat()
                            .resideInAPackage("org.rattanport.decisions..")
                            .and()
                            .arePublic()
                            .should()
                            .declareThrowableOfType(Exception.class));
        }
    }

    private static void check(ArchRule rule) {
        rule.check(CLASSES);
    }
}
