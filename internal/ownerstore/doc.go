// Package ownerstore stores the lease and owner rows of package ownership in the platform's
// table. It translates the effects of that package into reads and transactions, and rows
// into its typed responses. Keys are lease/{data centre}/{host} and
// owner/{data centre}/{target}.
package ownerstore
