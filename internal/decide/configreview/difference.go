package configreview

// Difference is an entry that is added or removed, or one value that is changed.
type Difference struct {
	Change  Change
	Section Section
	Name    string
	Field   Field // empty if the whole entry is added or removed
	From    string
	To      string
}
