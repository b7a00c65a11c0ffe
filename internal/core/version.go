package core

// Version names the version of the software that a target runs. It is empty if the target names none.
type Version string
