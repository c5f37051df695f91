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

// process is a child that prints its addresses on its first line.
type process struct {
	command *exec.Cmd
	// addresses are told by their names.
	addresses map[string]string
}

// launch starts a child of the bench's own program.
func launch(cx context.Context, program string, log io.Writer, args ...string) (*process, error) {
	p := &process{command: exec.CommandContext(cx, program, args...), addresses: map[string]string{}} //nolint:gosec // the bench's own program
	p.command.Stderr = log
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, carobkind.Wrap(carobkind.Internal, err, "open pipe")
	}
	if err := p.command.Start(); err != nil {
		return nil, carobkind.Wrap(carobkind.Internal, err, "start process")
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		p.stop()
		return nil, carobkind.Wrap(carobkind.Internal, err, "read addresses of "+args[0])
	}
	go func() { _, _ = io.Copy(io.Discard, out) }()
	for word := range strings.FieldsSeq(line) {
		name, value, _ := strings.Cut(word, "=")
		p.addresses[name] = value
	}
	return p, nil
}

// stop ends the child at once.
func (p *process) stop() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	_ = p.command.Wait()
}

// cpu returns the processor time that the child has used, or 0 where the
// system does not tell.
func (p *process) cpu() time.Duration {
	const userField, systemField, perSecond = 11, 12, 100
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.command.Process.Pid) + "/stat")
	if err != nil {
		return 0
	}
	// The fields follow the command's name, which ends with a bracket.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0
	}
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * time.Second / perSecond
}

// output runs a command to its end.
func output(cx context.Context, program string, args ...string) (string, error) {
	data, err := exec.CommandContext(cx, program, args...).CombinedOutput() //nolint:gosec // the bench's own program
	return string(data), err
}
