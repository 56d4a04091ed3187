package cmds_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/cmds"
)

var update = flag.Bool("update", false, "write docs/commands")

const directory = "../docs/commands"

// TestPages guards against pages that differ from the command tree: a missing
// or removed command, or a flag with another default.
func TestPages(t *testing.T) {
	tree, err := cmds.Tree()
	require.NoError(t, err)
	pages := map[string]string{}
	index := "# Commands\n\nGenerated from the command tree; write it again with `go test ./cmds -run TestPages -update`.\n\n" +
		tree.Detail + tree.Help + "\n\n| command | purpose |\n| --- | --- |\n"
	for _, leaf := range tree.Leaves(true) {
		name := strings.ReplaceAll(words(leaf), " ", "-") + ".md"
		pages[name] = page(leaf)
		index += fmt.Sprintf("| [%s](%s) | %s |\n", words(leaf), name, leaf.Help)
	}
	pages["README.md"] = index
	if *update {
		require.NoError(t, os.MkdirAll(directory, 0o755))
		for name, text := range pages {
			require.NoError(t, os.WriteFile(filepath.Join(directory, name), []byte(text), 0o644))
		}
	}
	found, err := filepath.Glob(filepath.Join(directory, "*.md"))
	require.NoError(t, err)
	assert.Len(t, found, len(pages), "a page of a command that does not exist: %v", found)
	for name, text := range pages {
		data, err := os.ReadFile(filepath.Join(directory, name))
		require.NoError(t, err)
		assert.Equal(t, text, string(data), "write it again with -update")
	}
}

// words returns a command without the program's name.
func words(node *kong.Node) string {
	name := node.Name
	if node.Parent != nil && node.Parent.Type == kong.CommandNode {
		name = node.Parent.Name + " " + name
	}
	return name
}

func page(leaf *kong.Node) string {
	var text strings.Builder
	fmt.Fprintf(&text, "# primrosegw %s\n\n%s\n\n    primrosegw %s\n", words(leaf), leaf.Help, summary(leaf))
	detail := leaf.Detail
	if detail == "" && leaf.Parent != nil && leaf.Parent.Type == kong.CommandNode {
		detail = leaf.Parent.Detail
	}
	if detail != "" {
		fmt.Fprintf(&text, "\n%s\n", indent(detail))
	}
	if len(leaf.Positional) > 0 {
		text.WriteString("\n| argument | needed | purpose |\n| --- | --- | --- |\n")
		for _, argument := range leaf.Positional {
			fmt.Fprintf(&text, "| %s | %s | %s |\n", argument.Name, yes(argument.Required), argument.Help)
		}
	}
	text.WriteString("\n| flag | value | needed | default | purpose |\n| --- | --- | --- | --- | --- |\n")
	for _, group := range leaf.AllFlags(true) {
		for _, flag := range group {
			fmt.Fprintf(&text, "| --%s | %s | %s | %s | %s |\n", flag.Name, value(flag), yes(flag.Required), flag.Default, flag.Help)
		}
	}
	text.WriteString("\nExit codes: 0 done, 1 failed, 2 bad input or usage.\n")
	return text.String()
}

// summary is the command line without the program's name.
func summary(leaf *kong.Node) string {
	line := words(leaf)
	for _, argument := range leaf.Positional {
		line += " " + argument.Summary()
	}
	for _, group := range leaf.AllFlags(true) {
		for _, flag := range group {
			if flag.Required {
				line += " --" + flag.Name + "=" + value(flag)
			}
		}
	}
	return line + " [flags]"
}

// value names the kind of value that a flag takes, empty for a switch.
func value(flag *kong.Flag) string {
	switch {
	case flag.IsBool():
		return ""
	case flag.PlaceHolder != "":
		return flag.PlaceHolder
	default:
		return strings.ToUpper(flag.Target.Type().Name())
	}
}

func yes(needed bool) string {
	if needed {
		return "yes"
	}
	return "no"
}

// indent turns the examples of a help text, which are indented by two spaces,
// into Markdown code.
func indent(text string) string {
	lines := strings.Split(text, "\n")
	for number, line := range lines {
		if strings.HasPrefix(line, "  ") {
			lines[number] = "  " + line
		}
	}
	return strings.Join(lines, "\n")
}

// TestExitCodes guards against a script that takes a bad command line or a
// faulty file for a failure that another try may mend.
func TestExitCodes(t *testing.T) {
	tests := []struct {
		name string
		args []string
		code int
		says string
	}{
		{"version", []string{"version"}, cmds.ExitDone, "primrosegw 0."},
		{"help", []string{"--help"}, cmds.ExitDone, "Commands:"},
		{"valid document", []string{"check", "../docs/examples/vendramin.json"}, cmds.ExitDone, "the document is valid"},
		{"second example", []string{"check", "../docs/examples/asociacion.json"}, cmds.ExitDone, "the document is valid"},
		{"unknown command", []string{"nothing"}, cmds.ExitUsage, "nothing"},
		{"missing flag", []string{"serve"}, cmds.ExitUsage, "--settings"},
		{"missing file", []string{"check", "none.json"}, cmds.ExitUsage, "none.json"},
		{"faulty file", []string{"check", "run.go"}, cmds.ExitUsage, "run.go"},
		{"no operator key", []string{"status"}, cmds.ExitUsage, "PRIMROSEGW_OPERATOR_KEY"},
	}
	t.Setenv("PRIMROSEGW_OPERATOR_KEY", "")
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out, err bytes.Buffer
			assert.Equal(t, test.code, cmds.Run(test.args, &out, &err))
			assert.Contains(t, out.String()+err.String(), test.says)
		})
	}
}
