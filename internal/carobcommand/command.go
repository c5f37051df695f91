// Package carobcommand implements the command line: the subcommands, their flags and
// the exit codes.
package carobcommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Exit codes.
const (
	exitSuccess = 0
	exitFailed  = 1
	exitUsage   = 2
	// exitConflict: the revision that the change replaces is not in force, usually
	// because another change of the profile came first.
	exitConflict = 3
	// exitLogUnavailable: the change is not in the log, because the log could not be
	// used or, with -settle, because the log has no such change.
	exitLogUnavailable = 4
	// exitUncertain: it is not known whether the change was appended.
	exitUncertain = 5
)

// Command describes a subcommand.
type Command struct {
	name string
	// summary is one sentence without a full stop, for the help.
	summary string
	// operands names the arguments after the flags, for the help. Empty if there are
	// none.
	operands string
	examples string
	// parse declares the flags and returns the function to call once they are parsed.
	parse func(flags *flag.FlagSet) runner
}

// runner runs a subcommand. args are the arguments after the flags.
type runner func(ctx context.Context, std *stdStreams, args []string) error

// stdStreams are the standard output and error of the process.
type stdStreams struct {
	out io.Writer
	err io.Writer
}

// commands returns all subcommands in the order of the help. To add one, add a file
// and a row here.
func commands() []Command {
	return []Command{
		nodeCommand(),
		publishCommand(),
		profilesCommand(),
		checkCommand(),
		statusCommand(),
		demoCommand(),
		logCommand(),
		targetCommand(),
		loadCommand(),
		benchCommand(),
		emulateCommand(),
	}
}

// Main runs the subcommand that args name and returns the exit code of the process.
func Main(args []string, out, err io.Writer) int {
	std := &stdStreams{out: out, err: err}
	if len(args) == 0 {
		usage(std.err)
		return exitUsage
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		usage(std.out)
		return exitSuccess
	}
	for _, command := range commands() {
		if command.name == args[0] {
			return run(command, std, args[1:])
		}
	}
	_, _ = fmt.Fprintf(std.err, "carobknot: no command %q; see 'carobknot help'\n", args[0])
	return exitUsage
}

// run parses the flags of a subcommand, runs it until it ends or a signal cancels it,
// and returns the exit code.
func run(command Command, std *stdStreams, args []string) int {
	flags := flag.NewFlagSet(command.name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	runCommand := command.parse(flags)
	if err := flags.Parse(args); err != nil {
		if err == flag.ErrHelp { //nolint:errorlint // the flag package returns it unwrapped
			help(command, flags, std.out)
			return exitSuccess
		}
		_, _ = fmt.Fprintf(std.err, "carobknot %s: %s; see 'carobknot %s -help'\n", command.name, err, command.name)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), endSignals()...)
	defer stop()
	if err := runCommand(ctx, std, flags.Args()); err != nil {
		_, _ = fmt.Fprintf(std.err, "carobknot %s: %s\n", command.name, err)
		return exitCode(err)
	}
	return exitSuccess
}

// endSignals returns the signals that end a subcommand. A hang-up is one unless the process
// was started to outlive it, as by nohup; without a handler it would end a node in the
// middle of its calls.
func endSignals() []os.Signal {
	signals := []os.Signal{syscall.SIGTERM, syscall.SIGINT}
	if !signal.Ignored(syscall.SIGHUP) {
		signals = append(signals, syscall.SIGHUP)
	}
	return signals
}

// usageError is an error in the arguments of a command.
type usageError string

func (e usageError) Error() string { return string(e) }

// exitCode returns the exit code of a failed command. The help of publish and profiles
// documents the codes.
func exitCode(err error) int {
	if _, ok := err.(usageError); ok { //nolint:errorlint // returned unwrapped
		return exitUsage
	}
	switch carobkind.Of(err) {
	case carobkind.Conflict:
		return exitConflict
	case carobkind.LogUnavailable:
		return exitLogUnavailable
	case carobkind.AppendUncertain:
		return exitUncertain
	default:
		return exitFailed
	}
}

// usage prints the list of subcommands.
func usage(output io.Writer) {
	var text strings.Builder
	text.WriteString("Usage: carobknot COMMAND [flags]\n\nCommands:\n")
	for _, command := range commands() {
		fmt.Fprintf(&text, "  %-9s %s\n", command.name, command.summary)
	}
	text.WriteString("\nFor one of them: carobknot COMMAND -help\n")
	_, _ = io.WriteString(output, text.String())
}

// help prints the help of one subcommand.
func help(command Command, flags *flag.FlagSet, output io.Writer) {
	_, _ = fmt.Fprintf(output, "Usage: carobknot %s\n\n%s.\n", strings.TrimSpace(command.name+" [flags] "+command.operands), command.summary)
	_, _ = io.WriteString(output, "\nFlags:\n")
	flags.SetOutput(output)
	flags.PrintDefaults()
	_, _ = fmt.Fprintf(output, "\nExamples:\n%s", command.examples)
}
