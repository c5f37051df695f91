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

// Each folder under cases is a case: cmd has the command line, one a line;
// expout and experr have what all of them print together, and expcode the exit
// code of the last, if it is not 0. Lines are run in the case's folder, against
// one fresh log whose URL stands for LOG; WHEN, WHO, PORT and ID stand for what
// differs from run to run. CASES_ACCEPT=1 writes what is printed.
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
	for line := range strings.Lines(readOr(t, folder, "cmd")) {
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
	actual := map[string]string{"expout": mask(out.String(), log), "experr": mask(errs.String(), log), "expcode": codeOf(code)}
	for name, text := range actual {
		if os.Getenv("CASES_ACCEPT") != "" && text != readOr(t, folder, name) {
			require.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600))
		}
		require.Equal(t, readOr(t, folder, name), text, name)
	}
}

func codeOf(code int) string {
	if code == 0 {
		return ""
	}
	return string(rune('0'+code)) + "\n"
}

var masks = []struct {
	pattern *regexp.Regexp
	word    string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[\d:.]+Z`), "WHEN"},
	{regexp.MustCompile(`published by \S+`), "published by WHO"},
	{regexp.MustCompile(`(?m)\S+ +WHEN$`), "WHO  WHEN"},
	{regexp.MustCompile(`127\.0\.0\.1:\d{5}`), "PORT"},
	{regexp.MustCompile(`\b[A-Z2-7]{26}\b`), "ID"},
}

func mask(text, log string) string {
	text = strings.ReplaceAll(text, log, "LOG")
	for _, m := range masks {
		text = m.pattern.ReplaceAllString(text, m.word)
	}
	return text
}

func readOr(t *testing.T, folder, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(folder, name))
	if !errors.Is(err, fs.ErrNotExist) {
		require.NoError(t, err)
	}
	return string(data)
}
