#include "core_quota.h"

#include <string.h>

#define PPM_PER_PERCENT (GH_SHARE_WHOLE_PPM / 100)

struct gh_quota {
	GArray *shares; /* gh_quota_share_t, by department handle */
	gh_resources_t total;
};

static gh_quota_share_t *share_at(const gh_quota_t *quota,
				  gh_handle_t department);
static uint64_t part_ppm(uint64_t used, uint64_t total);
static int compare_numbers(uint64_t a, uint64_t b);

gh_quota_t *gh_quota_new(void)
{
	gh_quota_t *quota = g_new0(gh_quota_t, 1);

	quota->shares = g_array_new(FALSE, TRUE, sizeof(gh_quota_share_t));
	return quota;
}

void gh_quota_free(gh_quota_t *quota)
{
	if (!quota)
		return;
	g_array_free(quota->shares, TRUE);
	g_free(quota);
}

void gh_quota_total_set(gh_quota_t *quota, const gh_resources_t *total)
{
	quota->total = *total;
}

gh_handle_t gh_quota_department_set(gh_quota_t *quota,
				    const gh_department_t *department)
{
	gh_handle_t handle = gh_quota_find(quota, department->name);
	gh_quota_share_t added = { .weight = 1 };
	gh_quota_share_t *share;

	if (handle == GH_HANDLE_NONE) {
		handle = (gh_handle_t)quota->shares->len;
		g_strlcpy(added.name, department->name, sizeof(added.name));
		g_array_append_val(quota->shares, added);
	}
	share = share_at(quota, handle);
	share->weight = department->weight ? department->weight : 1;
	share->guarantee_ppm = department->guarantee_percent * PPM_PER_PERCENT;
	share->limit_ppm = department->limit_percent * PPM_PER_PERCENT;
	share->jobs_max = department->jobs_max;
	return handle;
}

gh_handle_t gh_quota_find(const gh_quota_t *quota, const char *name)
{
	guint i;

	for (i = 0; i < quota->shares->len; i++)
		if (!strcmp(share_at(quota, (gh_handle_t)i)->name, name))
			return (gh_handle_t)i;
	return GH_HANDLE_NONE;
}

const gh_quota_share_t *gh_quota_share(const gh_quota_t *quota,
				       gh_handle_t department)
{
	return share_at(quota, department);
}

size_t gh_quota_count(const gh_quota_t *quota)
{
	return quota->shares->len;
}

void gh_quota_charge(gh_quota_t *quota, gh_handle_t department,
		     const gh_resources_t *size)
{
	gh_resources_t *used = &share_at(quota, department)->used;

	used->cores_milli += size->cores_milli;
	used->memory_mb += size->memory_mb;
	used->accelerators += size->accelerators;
}

void gh_quota_release(gh_quota_t *quota, gh_handle_t department,
		      const gh_resources_t *size)
{
	gh_resources_t *used = &share_at(quota, department)->used;

	used->cores_milli -= size->cores_milli;
	used->memory_mb -= size->memory_mb;
	used->accelerators -= size->accelerators;
}

void gh_quota_jobs_add(gh_quota_t *quota, gh_handle_t department, int n)
{
	share_at(quota, department)->jobs += (uint32_t)n;
}

uint32_t gh_quota_share_ppm(const gh_quota_t *quota, gh_handle_t department,
			    const gh_resources_t *size)
{
	gh_resources_t sum = share_at(quota, department)->used;

	if (size) {
		sum.cores_milli += size->cores_milli;
		sum.memory_mb += size->memory_mb;
		sum.accelerators += size->accelerators;
	}
	return gh_quota_dominant_share_ppm(quota, &sum);
}

uint32_t gh_quota_dominant_share_ppm(const gh_quota_t *quota,
				     const gh_resources_t *size)
{
	const gh_resources_t *total = &quota->total;
	uint64_t largest_ppm = part_ppm(size->cores_milli, total->cores_milli);

	largest_ppm =
		MAX(largest_ppm, part_ppm(size->memory_mb, total->memory_mb));
	largest_ppm = MAX(largest_ppm,
			  part_ppm(size->accelerators, total->accelerators));
	return (uint32_t)MIN(largest_ppm, UINT32_MAX);
}

bool gh_quota_within_limit(const gh_quota_t *quota, gh_handle_t department,
			   const gh_resources_t *size)
{
	return gh_quota_share_ppm(quota, department, size) <=
	       share_at(quota, department)->limit_ppm;
}

bool gh_quota_within_guarantee(const gh_quota_t *quota, gh_handle_t department,
			       const gh_resources_t *size)
{
	return gh_quota_share_ppm(quota, department, size) <=
	       share_at(quota, department)->guarantee_ppm;
}

uint32_t gh_quota_borrowed_ppm(const gh_quota_t *quota, gh_handle_t department)
{
	uint32_t used = gh_quota_share_ppm(quota, department, NULL);
	uint32_t guarantee = share_at(quota, department)->guarantee_ppm;

	return used > guarantee ? used - guarantee : 0;
}

int gh_quota_compare(const gh_quota_t *quota, gh_handle_t a, gh_handle_t b)
{
	const gh_quota_share_t *share_a = share_at(quota, a);
	const gh_quota_share_t *share_b = share_at(quota, b);
	uint64_t used_a = gh_quota_share_ppm(quota, a, NULL);
	uint64_t used_b = gh_quota_share_ppm(quota, b, NULL);
	bool below_a = used_a < share_a->guarantee_ppm;
	bool below_b = used_b < share_b->guarantee_ppm;

	if (below_a != below_b)
		return below_a ? -1 : 1;
	if (below_a)
		return compare_numbers(used_a * share_b->guarantee_ppm,
				       used_b * share_a->guarantee_ppm);
	return compare_numbers(used_a * share_b->weight,
			       used_b * share_a->weight);
}

static gh_quota_share_t *share_at(const gh_quota_t *quota,
				  gh_handle_t department)
{
	return &g_array_index(quota->shares, gh_quota_share_t, department);
}

/*
 * Part of a resource's total that is used, in parts per million, rounded up;
 * more than the whole when the shard has none of the resource.
 */
static uint64_t part_ppm(uint64_t used, uint64_t total)
{
	if (!used)
		return 0;
	if (!total)
		return GH_SHARE_WHOLE_PPM + 1;
	return (used * GH_SHARE_WHOLE_PPM + total - 1) / total;
}

static int compare_numbers(uint64_t a, uint64_t b)
{
	return (a > b) - (a < b);
}
