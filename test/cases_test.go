package test

import (
	"errors"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCases runs the cases on disk. Each folder under cases is a case. Its file cmd
// holds one command line a line, in which LOG is replaced by the URL of a log that is
// started for the case; the commands run in the case's folder. Files expout and
// experr hold the output of all commands, and expcode the exit code of the last one;
// a missing file means no output and exit code 0. What differs from run to run is
// replaced by WHEN, WHO, PORT and ID. With CASES_ACCEPT=1 in the environment the
// actual output overwrites these files.
func TestCases(t *testing.T) {
	folders, err := filepath.Glob("cases/*/cmd")
	require.NoError(t, err)
	require.NotEmpty(t, folders)
	for _, file := range folders {
		folder := filepath.Dir(file)
		t.Run(filepath.Base(folder), func(t *testing.T) { runCase(t, folder) })
	}
}

func runCase(t *testing.T, folder string) {
	t.Helper()
	log := start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]
	var out, errs strings.Builder
	code := 0
	for line := range strings.Lines(readIfExists(t, folder, "cmd")) {
		words := strings.Fields(strings.ReplaceAll(line, "LOG", log))
		require.Equal(t, "carobknot", words[0])
		command := exec.Command(program, words[1:]...)
		command.Dir, command.Stdout, command.Stderr = folder, &out, &errs
		if err := command.Run(); err != nil {
			var exit *exec.ExitError
			require.ErrorAs(t, err, &exit)
		}
		code = command.ProcessState.ExitCode()
	}
	actual := map[string]string{"expout": mask(out.String(), log), "experr": mask(errs.String(), log), "expcode": exitCodeText(code)}
	for name, text := range actual {
		if os.Getenv("CASES_ACCEPT") != "" && text != readIfExists(t, folder, name) {
			require.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600))
		}
		require.Equal(t, readIfExists(t, folder, name), text, name)
	}
}

// exitCodeText returns the contents of expcode, empty for exit code 0.
func exitCodeText(code int) string {
	if code == 0 {
		return ""
	}
	return string(rune('0'+code)) + "\n"
}

// masks replaces times, names of operators, addresses and IDs. The masks apply in
// order: the third matches the result of the first.
var masks = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[\d:.]+Z`), "WHEN"},
	{regexp.MustCompile(`published by \S+`), "published by WHO"},
	{regexp.MustCompile(`(?m)\S+ +WHEN$`), "WHO  WHEN"},
	{regexp.MustCompile(`127\.0\.0\.1:\d{5}`), "PORT"},
	{regexp.MustCompile(`\b[A-Z2-7]{26}\b`), "ID"},
}

// mask replaces the URL of the log and all masks in the output.
func mask(text, log string) string {
	text = strings.ReplaceAll(text, log, "LOG")
	for _, m := range masks {
		text = m.pattern.ReplaceAllString(text, m.replacement)
	}
	return text
}

// readIfExists returns an empty string if the file does not exist.
func readIfExists(t *testing.T, folder, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(folder, name))
	if !errors.Is(err, fs.ErrNotExist) {
		require.NoError(t, err)
	}
	return string(data)
}
