package org.rattanport.decisions;

import static com.google.common.truth.Truth.assertWithMessage;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.nio.file.Path;
import java.util.stream.Stream;
import kodkod.engine.satlab.SATFactory;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.TestFactory;

/**
 * Runs the commands of the Alloy specifications within their bounds. A command that starts with
 * "Mutant" must find a counterexample, which shows that its check can fail; a command that starts
 * with "Can" must find a trace. All others must find none.
 */
final class SpecificationTest {
    @Nested
    final class Claims {
        @TestFactory
        Stream<DynamicTest> shouldHold() {
            return commands("Claim.als");
        }
    }

    @Nested
    final class Documents {
        @TestFactory
        Stream<DynamicTest> shouldHold() {
            return commands("Document.als");
        }
    }

    private static Stream<DynamicTest> commands(String file) {
        CompModule module =
                CompUtil.parseEverything_fromFile(
                        A4Reporter.NOP, null, Path.of("../specification", file).toString());
        return module.getAllCommands().stream()
                .map(command -> DynamicTest.dynamicTest(command.label, () -> run(module, command)));
    }

    private static void run(CompModule module, Command command) {
        A4Options options = new A4Options();
        options.solver = SATFactory.DEFAULT;
        A4Solution solution =
                TranslateAlloyToKodkod.execute_command(
                        A4Reporter.NOP, module.getAllReachableSigs(), command, options);
        boolean isFound = solution.satisfiable();
        boolean isExpected = command.label.startsWith("Mutant") || command.label.startsWith("Can");
        assertWithMessage("%s found an instance", command.label)
                .that(isFound)
                .isEqualTo(isExpected);
    }
}
