// Package carobcommand is the command line.
package carobcommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Exit codes.
const (
	exitDone     = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitLogOut   = 4
	exitUnsure   = 5
)

// Command is one subcommand.
type Command struct {
	name    string
	summary string
	// operands names what follows the flags, for the usage.
	operands string
	examples string
	// parse declares the flags and returns what runs once they are read.
	parse func(flags *flag.FlagSet) runner
}

// runner does the work of a command.
type runner func(cx context.Context, sd *streams, args []string) error

// streams are where a command writes.
type streams struct {
	out io.Writer
	err io.Writer
}

// commands is the look-up table of all subcommands. To add one, add a file and
// a row.
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

// Main runs the command line and returns the exit code.
func Main(args []string, out, err io.Writer) int {
	sd := &streams{out: out, err: err}
	if len(args) == 0 {
		usage(sd.err)
		return exitUsage
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		usage(sd.out)
		return exitDone
	}
	for _, cm := range commands() {
		if cm.name == args[0] {
			return run(cm, sd, args[1:])
		}
	}
	_, _ = fmt.Fprintf(sd.err, "carobknot: no command %q; see 'carobknot help'\n", args[0])
	return exitUsage
}

func run(cm Command, sd *streams, args []string) int {
	flags := flag.NewFlagSet(cm.name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	work := cm.parse(flags)
	if err := flags.Parse(args); err != nil {
		if err == flag.ErrHelp { //nolint:errorlint // the flag package returns it unwrapped
			help(cm, flags, sd.out)
			return exitDone
		}
		_, _ = fmt.Fprintf(sd.err, "carobknot %s: %s; see 'carobknot %s -help'\n", cm.name, err, cm.name)
		return exitUsage
	}
	cx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := work(cx, sd, flags.Args()); err != nil {
		_, _ = fmt.Fprintf(sd.err, "carobknot %s: %s\n", cm.name, err)
		return exitOf(err)
	}
	return exitDone
}

// errUsage marks errors in how a command was called.
type errUsage string

func (e errUsage) Error() string { return string(e) }

func exitOf(err error) int {
	if _, ok := err.(errUsage); ok { //nolint:errorlint // returned unwrapped
		return exitUsage
	}
	switch carobkind.Of(err) {
	case carobkind.Conflict:
		return exitConflict
	case carobkind.LogUnavailable:
		return exitLogOut
	case carobkind.AppendUncertain:
		return exitUnsure
	default:
		return exitFailed
	}
}

func usage(to io.Writer) {
	var b strings.Builder
	b.WriteString("Usage: carobknot COMMAND [flags]\n\nCommands:\n")
	for _, cm := range commands() {
		fmt.Fprintf(&b, "  %-9s %s\n", cm.name, cm.summary)
	}
	b.WriteString("\nFor one of them: carobknot COMMAND -help\n")
	_, _ = io.WriteString(to, b.String())
}

func help(cm Command, flags *flag.FlagSet, to io.Writer) {
	_, _ = fmt.Fprintf(to, "Usage: carobknot %s\n\n%s.\n", strings.TrimSpace(cm.name+" [flags] "+cm.operands), cm.summary)
	_, _ = io.WriteString(to, "\nFlags:\n")
	flags.SetOutput(to)
	flags.PrintDefaults()
	_, _ = fmt.Fprintf(to, "\nExamples:\n%s", cm.examples)
}
