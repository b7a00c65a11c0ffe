package main

// testKey identifies one test. An empty test stands for the package, for example one that
// does not build.
type testKey struct {
	pkg  string
	test string
}
