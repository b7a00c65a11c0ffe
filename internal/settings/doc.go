// Package settings reads and checks the files that operators write: the settings file of a
// host and the declarations, which are kept in version control. Both are JSON with comments.
// Every problem is reported with file, line, key and the accepted form.
package settings
