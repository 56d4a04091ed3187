package spec

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json/jsontext"
)

const (
	// MaximumBytes is the largest document: a value of the key-value service.
	MaximumBytes = 1 << 20
	// maximumProblems bounds the report on a document.
	maximumProblems = 200
	// maximumElements bounds each list, so that a document of many empty elements
	// does not take much more memory than its own size. The largest list today
	// is that of 1,400 backend servers.
	maximumElements = 8192
	// foundLimit bounds the piece of the document that a problem quotes, in bytes.
	foundLimit = 60
)

// Problem is one fault of a document.
type Problem struct {
	// Line and Column are where the fault is, from 1; the column counts bytes.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path is the field at fault, such as "classes[2].tier".
	Path string `json:"path"`
	// Found is what the document has there, empty if nothing.
	Found string `json:"found,omitempty"`
	// Allowed says what may be there.
	Allowed string `json:"allowed,omitempty"`
	// Text explains the fault.
	Text string `json:"text"`
}

// String returns the problem as one line.
func (problem Problem) String() string {
	text := fmt.Sprintf("%d:%d: ", problem.Line, problem.Column)
	if problem.Path != "" {
		text += problem.Path + ": "
	}
	text += problem.Text
	if problem.Found != "" {
		text += "; found " + problem.Found
	}
	if problem.Allowed != "" {
		text += "; allowed: " + problem.Allowed
	}
	return text
}

// Parse reads a document strictly and returns all its faults, in the order of
// their places. A document with a fault is not to be used.
func Parse(data []byte) (Document, []Problem) {
	parser := &parser{data: data, offsets: map[string]int64{}, faulty: map[string]bool{}}
	var document Document
	if len(data) > MaximumBytes {
		parser.add(0, "", Problem{
			Found: fmt.Sprint(len(data), " bytes"), Allowed: fmt.Sprint("at most ", MaximumBytes, " bytes"),
			Text: "the document is too large",
		})
		return document, parser.problems
	}
	parser.decoder = jsontext.NewDecoder(bytes.NewBuffer(data), jsontext.AllowDuplicateNames(true))
	err := parser.document(reflect.ValueOf(&document).Elem())
	if err != nil {
		parser.syntax(err)
		return document, parser.sorted()
	}
	validate(document, parser.report)
	return document, parser.sorted()
}

// errFull stops the reading of a document with too many problems.
var errFull = errors.New("there are too many problems; what follows is not read")

// parser fills Go values from JSON and goes on after a fault. The value at a
// fault stays zero.
type parser struct {
	data    []byte
	decoder *jsontext.Decoder
	// offsets holds where the value of each path begins.
	offsets map[string]int64
	// faulty holds the paths with a problem. What their values should mean is
	// not checked.
	faulty   map[string]bool
	problems []Problem
}

// document reads the one value of the data. Its errors are of syntax only.
func (parser *parser) document(target reflect.Value) error {
	if err := parser.value(target, ""); err != nil {
		return err
	}
	offset := parser.next()
	if _, err := parser.decoder.ReadToken(); !errors.Is(err, io.EOF) {
		parser.add(offset, "", Problem{Text: "there is something after the document"})
	}
	return nil
}

// next returns where the next token begins.
func (parser *parser) next() int64 {
	offset := parser.decoder.InputOffset()
	for offset < int64(len(parser.data)) && strings.IndexByte(" \t\r\n,:", parser.data[offset]) >= 0 {
		offset++
	}
	return offset
}

// value reads a value of any type.
func (parser *parser) value(target reflect.Value, path string) error {
	if len(parser.problems) >= maximumProblems {
		return errFull
	}
	offset := parser.next()
	parser.offsets[path] = offset
	kind := parser.decoder.PeekKind()
	switch {
	case target.Kind() == reflect.Struct && kind == '{':
		return parser.object(target, path, offset)
	case target.Kind() == reflect.Slice && kind == '[':
		return parser.array(target, path)
	}
	value, err := parser.decoder.ReadValue()
	if err != nil {
		return err
	}
	if !scalar(target, value) {
		parser.add(offset, path, Problem{
			Found: quote(value), Allowed: expected(target.Kind()), Text: "the value has the wrong type",
		})
	}
	return nil
}

// object reads the fields of a struct.
func (parser *parser) object(target reflect.Value, path string, begin int64) error {
	if _, err := parser.decoder.ReadToken(); err != nil {
		return err
	}
	fields, seen := fieldsOf(target.Type()), map[string]bool{}
	for parser.decoder.PeekKind() != '}' {
		offset := parser.next()
		token, err := parser.decoder.ReadToken()
		if err != nil {
			return err
		}
		name := token.String()
		index, known := fields.index[name]
		if !known || seen[name] {
			parser.refuse(offset, join(path, name), fields, known)
			if err := parser.decoder.SkipValue(); err != nil {
				return err
			}
			continue
		}
		seen[name] = true
		if err := parser.value(target.Field(index), join(path, name)); err != nil {
			return err
		}
	}
	for _, name := range fields.required {
		if !seen[name] {
			parser.offsets[join(path, name)] = begin
			parser.add(begin, join(path, name), Problem{Text: "the field is missing"})
		}
	}
	_, err := parser.decoder.ReadToken()
	return err
}

// refuse reports an unknown or repeated field.
func (parser *parser) refuse(offset int64, path string, fields fields, known bool) {
	problem := Problem{Text: "the field is there twice"}
	if !known {
		problem = Problem{Text: "the field is unknown", Allowed: strings.Join(fields.names, ", ")}
	}
	if len(path) > 2*foundLimit {
		path = strings.ToValidUTF8(path[:2*foundLimit], "") + "..."
	}
	parser.add(offset, path, problem)
}

// array reads the elements of a slice.
func (parser *parser) array(target reflect.Value, path string) error {
	if _, err := parser.decoder.ReadToken(); err != nil {
		return err
	}
	for index := 0; parser.decoder.PeekKind() != ']'; index++ {
		if index >= maximumElements {
			if err := parser.surplus(path, index); err != nil {
				return err
			}
			continue
		}
		element := reflect.New(target.Type().Elem()).Elem()
		if err := parser.value(element, fmt.Sprintf("%s[%d]", path, index)); err != nil {
			return err
		}
		target.Set(reflect.Append(target, element))
	}
	_, err := parser.decoder.ReadToken()
	return err
}

// surplus skips an element past the limit of a list, and reports the first.
func (parser *parser) surplus(path string, index int) error {
	if index == maximumElements {
		parser.add(parser.next(), fmt.Sprintf("%s[%d]", path, index), Problem{
			Allowed: fmt.Sprint("at most ", maximumElements, " elements"), Text: "the list is too long",
		})
	}
	return parser.decoder.SkipValue()
}

// scalar sets a string, a number or a truth value, and reports whether the JSON
// value has that type.
func scalar(target reflect.Value, value jsontext.Value) bool {
	text, kind := string(value), value.Kind()
	switch target.Kind() {
	case reflect.String:
		unquoted, err := jsontext.AppendUnquote(nil, value)
		if kind != '"' || err != nil {
			return false
		}
		target.SetString(string(unquoted))
	case reflect.Int:
		number, err := strconv.ParseInt(text, 10, 64)
		if kind != '0' || err != nil {
			return false
		}
		target.SetInt(number)
	case reflect.Float64:
		number, err := strconv.ParseFloat(text, 64)
		if kind != '0' || err != nil {
			return false
		}
		target.SetFloat(number)
	case reflect.Bool:
		if kind != 't' && kind != 'f' {
			return false
		}
		target.SetBool(kind == 't')
	default:
		return false
	}
	return true
}

// expected names the JSON type of a Go kind.
func expected(kind reflect.Kind) string {
	switch kind {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	}
	return "true or false"
}

// fields are the JSON names of a struct.
type fields struct {
	names    []string
	required []string
	index    map[string]int
}

// fieldsOf returns the fields of a struct type. Those that may be left out are
// tagged so.
func fieldsOf(structure reflect.Type) fields {
	fields := fields{index: map[string]int{}}
	for index := range structure.NumField() {
		name, options, _ := strings.Cut(structure.Field(index).Tag.Get("json"), ",")
		fields.names = append(fields.names, name)
		fields.index[name] = index
		if options == "" {
			fields.required = append(fields.required, name)
		}
	}
	return fields
}

// syntax reports a fault of syntax. What follows it is not read.
func (parser *parser) syntax(err error) {
	offset := parser.decoder.InputOffset()
	if errors.Is(err, errFull) {
		parser.problems = parser.problems[:maximumProblems-1]
		parser.add(offset, "", Problem{Text: err.Error()})
		return
	}
	var syntactic *jsontext.SyntacticError
	text := err.Error()
	if errors.As(err, &syntactic) {
		offset = syntactic.ByteOffset
		text = syntactic.Err.Error()
	}
	parser.add(offset, "", Problem{Text: "the document is not JSON: " + text})
}

// report adds a problem of meaning, unless the value was faulty before.
func (parser *parser) report(path string, problem Problem) {
	place := path
	for {
		if parser.faulty[place] {
			return
		}
		offset, present := parser.offsets[place]
		if present {
			parser.add(offset, path, problem)
			return
		}
		place = place[:max(0, strings.LastIndexAny(place, ".["))]
	}
}

// add adds a problem at a place of the data.
func (parser *parser) add(offset int64, path string, problem Problem) {
	parser.faulty[path] = true
	if len(parser.problems) == maximumProblems {
		return
	}
	offset = min(offset, int64(len(parser.data)))
	before := parser.data[:offset]
	problem.Line = bytes.Count(before, []byte("\n")) + 1
	problem.Column = len(before) - bytes.LastIndexByte(before, '\n')
	problem.Path = path
	parser.problems = append(parser.problems, problem)
}

// sorted returns the problems in the order of their places.
func (parser *parser) sorted() []Problem {
	slices.SortStableFunc(parser.problems, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return parser.problems
}

// join returns the path of a field.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// quote returns the beginning of a value.
func quote(value []byte) string {
	if len(value) > foundLimit {
		return strings.ToValidUTF8(string(value[:foundLimit]), "") + "..."
	}
	return string(value)
}
