package settings

import (
	"reflect"
	"strings"
)

// joinKey returns the path of a member of the object at key.
func joinKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// parentKey returns the path of the object or list that contains the key.
func parentKey(key string) string {
	cut := strings.LastIndexAny(key, ".[")
	return key[:max(cut, 0)]
}

// fieldsOf returns the types of a struct's fields by their JSON names.
func fieldsOf(structure reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range structure.NumField() {
		fields[fieldName(structure.Field(i))] = structure.Field(i).Type
	}
	return fields
}

// fieldNames returns the JSON names of a struct's fields in order of declaration.
func fieldNames(structure reflect.Type) []string {
	names := make([]string, 0, structure.NumField())
	for i := range structure.NumField() {
		names = append(names, fieldName(structure.Field(i)))
	}
	return names
}

func fieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}
