package main

// testKey names one test; an empty test stands for a package that failed as a whole.
type testKey struct {
	pkg  string
	test string
}
