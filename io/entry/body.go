package entry

import (
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// maximumNesting bounds the objects and lists within each other in a body. The
// deepest usual bodies, schemas of functions, stay far below it.
const maximumNesting = 128

// readFields reads a caller's body. It is strict where an engine could read the
// body in another way than the router: a field given twice, in another case or
// in invalid UTF-8 is refused.
func readFields(body []byte) (fields, *problem) {
	var read fields
	if kind := jsontext.Value(body).Kind(); kind != '{' {
		return read, invalid("body", "the body is not a JSON object")
	}
	if nesting(body) > maximumNesting {
		return read, invalid("body", "the body is nested deeper than "+strconv.Itoa(maximumNesting)+" levels")
	}
	if err := json.Unmarshal(body, &read); err != nil {
		return read, describeJSON("", err)
	}
	return read, nil
}

// nesting returns the depth of a JSON text without the cost of reading it.
func nesting(body []byte) int {
	depth, deepest := 0, 0
	inside, escaped := false, false
	for _, char := range body {
		switch {
		case escaped:
			escaped = false
		case inside:
			escaped = char == '\\'
			inside = char != '"'
		case char == '"':
			inside = true
		case char == '{' || char == '[':
			depth++
			deepest = max(deepest, depth)
		case char == '}' || char == ']':
			depth--
		}
	}
	return deepest
}

// describeJSON names the field at fault below the given one.
func describeJSON(parent string, err error) *problem {
	var semantic *json.SemanticError
	if errors.As(err, &semantic) {
		return invalid(param(parent, semantic.JSONPointer), "found "+found(semantic)+", allowed: "+allowed(semantic.GoType))
	}
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) && errors.Is(err, jsontext.ErrDuplicateName) {
		return invalid(param(parent, syntactic.JSONPointer), "the field is given twice")
	}
	if parent == "" {
		parent = "body"
	}
	return invalid(parent, "the body is not valid JSON: "+err.Error())
}

// param turns a JSON pointer into the name of a field. A name that the router
// does not know is the caller's text, which belongs into no log.
func param(parent string, pointer jsontext.Pointer) string {
	var names []string
	if parent != "" {
		names = append(names, parent)
	}
	names = slices.AppendSeq(names, pointer.Tokens())
	known := []string{"model", "stream", "stream_options", "max_tokens", "max_completion_tokens", "n", "messages", "prompt"}
	if len(names) == 0 || !slices.Contains(known, names[0]) {
		return "body"
	}
	return strings.Join(names, ".")
}

func found(err *json.SemanticError) string {
	switch err.JSONKind {
	case 'n':
		return "null"
	case 't', 'f':
		return "a truth value"
	case '"':
		return "a text"
	case '0':
		return "the number " + string(err.JSONValue)
	case '{':
		return "an object"
	default:
		return "a list"
	}
}

func allowed(wanted reflect.Type) string {
	if wanted == nil {
		return "another type"
	}
	for wanted.Kind() == reflect.Pointer {
		wanted = wanted.Elem()
	}
	switch wanted.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a text"
	case reflect.Int:
		return "a whole number"
	case reflect.Slice:
		return "a list"
	default:
		return "an object"
	}
}

func checkMessages(raw jsontext.Value) *problem {
	if len(raw) == 0 {
		return invalid("messages", "messages is missing")
	}
	var messages []struct {
		Role string `json:"role"`
	}
	if err := json.Unmarshal(raw, &messages); err != nil {
		return describeJSON("messages", err)
	}
	if len(messages) == 0 {
		return invalid("messages", "messages is empty")
	}
	for index, message := range messages {
		if message.Role == "" {
			return invalid("messages."+strconv.Itoa(index)+".role", "the message has no role")
		}
	}
	return nil
}

// checkPrompt allows one text. A list would ask for several answers.
func checkPrompt(raw jsontext.Value) *problem {
	if len(raw) == 0 {
		return invalid("prompt", "prompt is missing")
	}
	var prompt string
	if err := json.Unmarshal(raw, &prompt); err != nil {
		return describeJSON("prompt", err)
	}
	if prompt == "" {
		return invalid("prompt", "prompt is empty")
	}
	return nil
}
