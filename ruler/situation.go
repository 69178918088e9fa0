package ruler

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Set parses text into the field with the given name, as conditions spell it.
func (s *Situation) Set(name, text string) error {
	v := reflect.ValueOf(s).Elem()
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("expr") != name {
			continue
		}
		return set(v.Field(i), name, text)
	}
	return eris.Errorf("%q is no part of a situation; there are %s", name, strings.Join(VariableNames(), ", "))
}

func set(field reflect.Value, name, text string) error {
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
	case reflect.Int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return eris.Errorf("%q must be a whole number, not %q", name, text)
		}
		field.SetInt(int64(n))
	default:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return eris.Errorf("%q must be a number, not %q", name, text)
		}
		field.SetFloat(n)
	}
	return nil
}

// VariableNames returns the names that conditions may use.
func VariableNames() []string {
	t := reflect.TypeFor[Situation]()
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("expr"))
	}
	return names
}

// variables fills a map with the fields of the situation, by their names in
// conditions, and allocates one if it is nil. Conditions read a map faster
// than the struct, which needs reflection.
func (s Situation) variables(into map[string]any) map[string]any {
	if into == nil {
		into = make(map[string]any, 12)
	}
	into["kind"] = s.Kind
	into["model"] = s.Model
	into["adapter"] = s.Adapter
	into["service"] = s.Service
	into["method"] = s.Method
	into["path"] = s.Path
	into["caller"] = s.Caller
	into["hour"] = s.Hour
	into["weekday"] = s.Weekday
	into["prompt"] = s.Prompt
	into["demand"] = s.Demand
	into["copies"] = s.Copies
	return into
}
