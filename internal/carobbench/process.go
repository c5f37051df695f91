package carobbench

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// process is a child process that prints its addresses on its first line of output.
type process struct {
	command *exec.Cmd
	// addresses holds the printed addresses by their names.
	addresses map[string]string
}

// startProcess starts the given program with log as its standard error, and waits for
// its first line of output. The process is killed when ctx ends.
func startProcess(ctx context.Context, program string, log io.Writer, args ...string) (*process, error) {
	p := &process{command: exec.CommandContext(ctx, program, args...), addresses: map[string]string{}} //nolint:gosec // the bench's own program
	p.command.Stderr = log
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return nil, carobkind.Wrap(carobkind.Internal, err, "open pipe")
	}
	if err := p.command.Start(); err != nil {
		return nil, carobkind.Wrap(carobkind.Internal, err, "start process")
	}
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		p.stop()
		return nil, carobkind.Wrap(carobkind.Internal, err, "read addresses of "+args[0])
	}
	go func() { _, _ = io.Copy(io.Discard, stdout) }()
	for field := range strings.FieldsSeq(line) {
		name, value, _ := strings.Cut(field, "=")
		p.addresses[name] = value
	}
	return p, nil
}

// stop kills the process and waits for its end.
func (p *process) stop() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	_ = p.command.Wait()
}

// cpuTime returns the processor time that the process has used, or 0 where the
// operating system has no /proc.
func (p *process) cpuTime() time.Duration {
	const userField, systemField, ticksPerSecond = 11, 12, 100
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.command.Process.Pid) + "/stat")
	if err != nil {
		return 0
	}
	// The command's name may contain spaces; the fields follow its closing bracket.
	_, stat, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(stat)
	if len(fields) <= systemField {
		return 0
	}
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// runCommand runs the program and returns its standard output and error.
func runCommand(ctx context.Context, program string, args ...string) (string, error) {
	data, err := exec.CommandContext(ctx, program, args...).CombinedOutput() //nolint:gosec // the bench's own program
	return string(data), err
}
