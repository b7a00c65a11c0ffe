// Package settings reads what operators write: the settings file of one host and the
// declarations that are kept in version control. Both are JSON with comments. Everything
// that is not accepted is reported with file, line, key and the accepted form.
package settings
