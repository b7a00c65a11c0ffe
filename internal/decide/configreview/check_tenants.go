package configreview

import (
	"slices"
	"strconv"
)

func (r *reviewer) checkTenants() {
	names := map[string]bool{}
	for i := range r.document.Tenants {
		tenant := &r.document.Tenants[i]
		r.checkName(names, SectionTenant, i, tenant.Name)
		r.checkNegative(SectionTenant, tenant.Name, i, tenant.attributes())
		if len(tenant.Keys) == 0 {
			r.add(Finding{Code: TenantWithoutKeys, Section: SectionTenant, Name: tenant.Name, Index: i, Field: FieldKeys})
		}
		if slices.Contains(tenant.Keys, "") {
			r.add(Finding{Code: EmptyKey, Section: SectionTenant, Name: tenant.Name, Index: i, Field: FieldKeys})
		}
		r.checkSharedKeys(i, tenant)
	}
	r.checkAnyKey()
}

// checkSharedKeys adds a finding for each later tenant that holds keys of this one. Requests with such a key count
// for the last tenant that holds it.
func (r *reviewer) checkSharedKeys(i int, tenant *Tenant) {
	held := keySet(tenant.Keys)
	for j := i + 1; j < len(r.document.Tenants); j++ {
		shared := 0
		for key := range keySet(r.document.Tenants[j].Keys) {
			if held[key] {
				shared++
			}
		}
		if shared > 0 {
			r.add(Finding{Code: KeyOfTwoTenants, Section: SectionTenant, Name: tenant.Name, Index: i, Field: FieldKeys,
				Value: strconv.Itoa(shared), Other: r.document.Tenants[j].Name})
		}
	}
}

// checkAnyKey adds a finding if there are routes that need a key, and no tenant has one.
func (r *reviewer) checkAnyKey() {
	keyless := !slices.ContainsFunc(r.document.Tenants, func(t Tenant) bool { return len(t.Keys) > 0 })
	needed := slices.ContainsFunc(r.document.Routes, func(route Route) bool { return !route.Public })
	if r.document.KeysUsed && keyless && needed {
		r.add(Finding{Code: NoKeyAtAll, Section: SectionDocument, Field: FieldTenants})
	}
}

func keySet(keys []string) map[string]bool {
	set := map[string]bool{}
	for _, key := range keys {
		set[key] = true
	}
	return set
}
