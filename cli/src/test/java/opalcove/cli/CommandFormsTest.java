package opalcove.cli;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.testng.annotations.Test;
import picocli.CommandLine;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Model.PositionalParamSpec;

/** Checks that the names, options, numbers of values, defaults and exit codes that scripts rely on do not change. */
public class CommandFormsTest {
    /** The expected forms, one line per command, option or parameter. A new one needs a new line in this file. */
    private static final String FORMS = "/opalcove/cli/command-forms.txt";

    @Test
    public void keepsFormOfEachCommand() throws IOException {
        StringBuilder forms = new StringBuilder();
        describe("", Opalcove.commandLine(), forms);
        try (InputStream expected = CommandFormsTest.class.getResourceAsStream(FORMS)) {
            assertEquals(forms.toString(), new String(expected.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    private static void describe(String parent, CommandLine command, StringBuilder forms) {
        String path = (parent + " " + command.getCommandName()).strip();
        forms.append(path);
        for (String alias : command.getCommandSpec().aliases()) {
            forms.append(" | ").append(alias);
        }
        forms.append("; exits ")
                .append(command.getCommandSpec().exitCodeOnSuccess())
                .append(' ')
                .append(command.getCommandSpec().exitCodeOnExecutionException())
                .append(' ')
                .append(command.getCommandSpec().exitCodeOnInvalidInput())
                .append('\n');
        for (OptionSpec option : command.getCommandSpec().options()) {
            forms.append("    ").append(Arrays.stream(option.names()).sorted().collect(Collectors.joining("|")));
            describe(option, forms);
        }
        for (PositionalParamSpec parameter : command.getCommandSpec().positionalParameters()) {
            forms.append("    ").append(parameter.index()).append(' ').append(parameter.paramLabel());
            describe(parameter, forms);
        }
        command.getSubcommands().forEach((name, subcommand) -> describe(path, subcommand, forms));
    }

    private static void describe(ArgSpec argument, StringBuilder forms) {
        forms.append(" values ")
                .append(argument.arity())
                .append(argument.required() ? ", required" : "")
                .append(argument.defaultValue() == null ? "" : ", default " + argument.defaultValue())
                .append('\n');
    }
}
