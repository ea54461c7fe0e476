/*
 * Failure domains of the fleet model: requests to empty them, what each host
 * has heard of these, and the rule that nothing starts there.
 *
 * A host reads the requests from time to time while it reaches the store.
 */
#include <string.h>

#include "fleet_model_private.h"

#define EMPTY_MS 5000
/* A start that is sent takes this long at most, or is executed late. */
#define ARRIVAL_MS 1000
#define READ_MAX_MS 900

static const char *const names[MODEL_DOMAINS] = { "d0", "d1" };

typedef struct host_read {
	host_t *host;
	uint32_t boot;
} host_read_t;

static void post_read(host_t *h);
static void on_read(model_t *m, void *data);
static void tell_fleet(host_t *h);
static uint32_t domain_of(const life_t *life);

static bool is_on(const model_t *m)
{
	return m->weights[DISRUPT_EMPTY];
}

int64_t model_domain_empty_ms(const model_t *m)
{
	return is_on(m) ? EMPTY_MS : 0;
}

void model_domain_name(const model_t *m, const life_t *life,
		       gh_worker_entry_t *entry)
{
	if (is_on(m))
		g_strlcpy(entry->domain, names[domain_of(life)],
			  sizeof(entry->domain));
}

void model_domain_boot(host_t *h)
{
	if (!is_on(h->m))
		return;
	h->domains_heard_at = 0;
	memset(h->domains, 0, sizeof(h->domains));
	post_read(h);
}

static void post_read(host_t *h)
{
	host_read_t *read = model_alloc(h->m, sizeof(*read));

	read->host = h;
	read->boot = h->boot;
	model_post(h->m, h->m->now + model_random_ms(h->m, 5, READ_MAX_MS),
		   on_read, read);
}

static void on_read(model_t *m, void *data)
{
	const host_read_t *read = data;
	host_t *h = read->host;
	uint32_t i;

	if (!h->up || h->boot != read->boot)
		return;
	post_read(h);
	if (m->now < h->frozen_until || m->now < h->store_cut_until ||
	    m->now < m->store.down_until)
		return;
	for (i = 0; i < MODEL_DOMAINS; i++)
		h->domains[i] = m->now < m->emptied_until[i];
	h->domains_heard_at = m->now;
	tell_fleet(h);
}

void model_domain_load(host_t *h)
{
	if (is_on(h->m))
		tell_fleet(h);
}

static void tell_fleet(host_t *h)
{
	const char *emptied[MODEL_DOMAINS];
	size_t n = 0;
	uint32_t i;

	if (!h->fleet)
		return;
	for (i = 0; i < MODEL_DOMAINS; i++)
		if (h->domains[i])
			emptied[n++] = names[i];
	gh_fleet_domains_set(h->fleet, emptied, n, h->m->now);
	gh_fleet_domains_heard(h->fleet, h->domains_heard_at);
}

void model_domain_empty(model_t *m, uint32_t slot, gh_time_t until)
{
	uint32_t domain = slot % MODEL_DOMAINS;

	if (m->now >= m->emptied_until[domain])
		m->emptied_from[domain] = m->now;
	m->emptied_until[domain] = MAX(m->emptied_until[domain], until);
}

bool model_domain_is_emptied(const model_t *m, const life_t *life)
{
	return m->now < m->emptied_until[domain_of(life)];
}

void model_domain_check_start(model_t *m, const life_t *life,
			      const worker_call_t *call)
{
	gh_time_t from = m->emptied_from[domain_of(life)];

	if (is_on(m) && model_domain_is_emptied(m, life) &&
	    call->sent_at - from > gh_time_from_ms(EMPTY_MS - ARRIVAL_MS))
		model_breach(m, RULE_EMPTIED, &call->task,
			     "a start in a domain that is to be emptied");
}

static uint32_t domain_of(const life_t *life)
{
	return life->slot % MODEL_DOMAINS;
}
