package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

var durationType = reflect.TypeFor[Duration]()

// walk records the lines of all keys and reports every part of the tree that does not fit
// the wanted type.
func (d *document) walk(value *hujson.Value, want reflect.Type, key string) {
	line := d.lineAt(value.StartOffset)
	if d.lines[key] == 0 {
		d.lines[key] = line
	}
	switch node := value.Value.(type) {
	case *hujson.Object:
		d.walkObject(node, want, key, line)
	case *hujson.Array:
		d.walkArray(node, want, key, line)
	case hujson.Literal:
		d.walkLiteral(node, want, key, line)
	}
}

func (d *document) walkObject(node *hujson.Object, want reflect.Type, key string, line int) {
	if want.Kind() != reflect.Struct {
		d.addProblem(line, key, "an object", acceptedForm(want))
		return
	}
	fields := fieldsOf(want)
	seen := map[string]bool{}
	for i := range node.Members {
		member := &node.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		path := joinKey(key, name)
		memberLine := d.lineAt(member.Name.StartOffset)
		field, known := fields[name]
		switch {
		case !known:
			d.addProblem(memberLine, path, "an unknown key", "one of "+strings.Join(fieldNames(want), ", "))
		case seen[name]:
			d.addProblem(memberLine, path, "the key again", "each key once")
		default:
			d.lines[path] = memberLine
			d.walk(&member.Value, field, path)
		}
		seen[name] = true
	}
}

func (d *document) walkArray(node *hujson.Array, want reflect.Type, key string, line int) {
	if want.Kind() != reflect.Slice {
		d.addProblem(line, key, "a list", acceptedForm(want))
		return
	}
	for i := range node.Elements {
		d.walk(&node.Elements[i], want.Elem(), fmt.Sprintf("%s[%d]", key, i))
	}
}

func (d *document) walkLiteral(node hujson.Literal, want reflect.Type, key string, line int) {
	if !literalFits(node, want) {
		d.addProblem(line, key, string(node), acceptedForm(want))
	}
}

// literalFits reports whether a string, number or boolean can be decoded into the type.
func literalFits(node hujson.Literal, want reflect.Type) bool {
	if want == durationType {
		_, err := time.ParseDuration(node.String())
		return node.Kind() == '"' && err == nil
	}
	switch want.Kind() {
	case reflect.String:
		return node.Kind() == '"'
	case reflect.Bool:
		return node.Kind() == 't' || node.Kind() == 'f'
	case reflect.Int, reflect.Int64:
		_, err := strconv.ParseInt(string(node), 10, 64)
		return err == nil
	case reflect.Uint64:
		_, err := strconv.ParseUint(string(node), 10, 64)
		return err == nil
	default:
		return false
	}
}

// acceptedForm describes the accepted form of a type.
func acceptedForm(want reflect.Type) string {
	if want == durationType {
		return durationForm
	}
	switch want.Kind() {
	case reflect.Struct:
		return "an object with the keys " + strings.Join(fieldNames(want), ", ")
	case reflect.Slice:
		return "a list in brackets"
	case reflect.String:
		return "a string in double quotes"
	case reflect.Bool:
		return "true or false"
	default:
		return "a whole number without quotes"
	}
}
