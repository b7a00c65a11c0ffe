// Package ownerstore keeps the rows by which hosts own targets in the platform's table: it
// turns the effects of package ownership into reads and transactions, and rows into its
// typed answers. Keys are lease/{data centre}/{host} and owner/{data centre}/{target}.
package ownerstore
