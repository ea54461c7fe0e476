#include "replay_shape.h"

#include <inttypes.h>

#define FRONT_PORT 7000
#define CONSOLE_PORT 7001
#define PEER_PORT 7002
#define EXECUTOR_AND_WORKER_PORT 8000

/* Kinds of hosts; the value is the second byte of their addresses. */
enum host_kind {
	HOST_ENTRY = 1,
	HOST_EXECUTOR = 2,
	HOST_WORKER = 3,
};

static void add_departments_and_services(GString *text,
					 const replay_shape_t *shape);
static void add_entries(GString *text, const replay_shape_t *shape,
			size_t n_domains);
static void add_executors(GString *text, const replay_shape_t *shape,
			  size_t n_domains);
static void add_workers(GString *text, const replay_shape_t *shape,
			size_t n_domains);
static void add_address(GString *text, enum host_kind kind, size_t index);

static const replay_shape_service_t association_services[] = {
	{ "wiring-check", "fitters", "latency", 40 },
	{ "quote-build", "hotels", "latency", 120 },
	{ "catalogue-refresh", "catalogue", "batch", 300 },
	{ "catalogue-rebuild", "catalogue", "batch", 6000 },
};

static const replay_shape_service_t haddad_services[] = {
	{ "restock", "shops", "latency", 30 },
	{ "bulk-confirm", "workshops", "latency", 150 },
	{ "ledger", "accounts", "batch", 400 },
	{ "rebuild", "accounts", "batch", 8000 },
};

static const replay_shape_t association_shape = {
	.domains = (const char *const[]){ "bole", "piassa", "merkato",
					  "kazanchis", NULL },
	.entries_per_domain = 2,
	.executors = 50,
	.workers = 50,
	.slots = 8,
	.connections = 64,
	.worker_cores = 64,
	.worker_memory_mb = 250 * 1024,
	.workers_per_rack = 6,
	.departments =
		(const char *const[]){ "fitters", "hotels", "catalogue", NULL },
	.services = association_services,
	.n_services = G_N_ELEMENTS(association_services),
	.shards_per_domain = 1,
	.request_max_ms = 30000,
};

static const replay_shape_t haddad_shape = {
	.domains =
		(const char *const[]){ "amman-1", "amman-2", "amman-3", NULL },
	.entries_per_domain = 3,
	.executors = 50,
	.workers = 50,
	.slots = 8,
	.connections = 64,
	.worker_cores = 32,
	.worker_memory_mb = 125 * 1024,
	.workers_per_rack = 8,
	.departments =
		(const char *const[]){ "shops", "workshops", "accounts", NULL },
	.services = haddad_services,
	.n_services = G_N_ELEMENTS(haddad_services),
	.shards_per_domain = 1,
	.request_max_ms = 30000,
};

const replay_shape_t *replay_shape_association(void)
{
	return &association_shape;
}

const replay_shape_t *replay_shape_haddad(void)
{
	return &haddad_shape;
}

char *replay_shape_document(const replay_shape_t *shape)
{
	GString *text = g_string_new(NULL);
	size_t n;

	g_string_append_printf(text,
			       "[policy]\nrequest_max_ms=%" PRId64
			       "\nshards_per_domain=%zu\n",
			       shape->request_max_ms, shape->shards_per_domain);
	add_departments_and_services(text, shape);
	for (n = 0; shape->domains[n]; n++)
		g_string_append_printf(text, "[domain %s]\nregion=region-1\n",
				       shape->domains[n]);
	if (n) {
		add_entries(text, shape, n);
		add_executors(text, shape, n);
		add_workers(text, shape, n);
	}
	return g_string_free(text, FALSE);
}

/*
 * Appends the departments, with equal weights and guarantees of 90 % together,
 * and the services.
 */
static void add_departments_and_services(GString *text,
					 const replay_shape_t *shape)
{
	size_t n;
	size_t i;

	for (n = 0; shape->departments[n]; n++)
		;
	for (i = 0; i < n; i++)
		g_string_append_printf(
			text,
			"[department %s]\nweight=100\nguarantee_percent=%zu\n"
			"limit_percent=100\n",
			shape->departments[i], 90 / n);
	for (i = 0; i < shape->n_services; i++)
		g_string_append_printf(text,
				       "[service %s]\ndepartment=%s\nclass=%s\n"
				       "expected_ms=%u\n",
				       shape->services[i].name,
				       shape->services[i].department,
				       shape->services[i].class,
				       shape->services[i].expected_ms);
}

static void add_entries(GString *text, const replay_shape_t *shape,
			size_t n_domains)
{
	size_t i;

	for (i = 0; i < n_domains * shape->entries_per_domain; i++) {
		const char *domain = shape->domains[i % n_domains];

		g_string_append_printf(text, "[entry %s-e%zu]\ndomain=%s\n",
				       domain, i / n_domains, domain);
		add_address(text, HOST_ENTRY, i);
		g_string_append_printf(text,
				       "\nfront_port=%d\nconsole_port=%d\n"
				       "peer_port=%d\n",
				       FRONT_PORT, CONSOLE_PORT, PEER_PORT);
	}
}

static void add_executors(GString *text, const replay_shape_t *shape,
			  size_t n_domains)
{
	size_t i;

	for (i = 0; i < shape->executors; i++) {
		const char *domain = shape->domains[i % n_domains];

		g_string_append_printf(text, "[executor %s-x%zu]\ndomain=%s\n",
				       domain, i / n_domains, domain);
		add_address(text, HOST_EXECUTOR, i);
		g_string_append_printf(text, ":%d\nslots=%u\nconnections=%u\n",
				       EXECUTOR_AND_WORKER_PORT, shape->slots,
				       shape->connections);
	}
}

static void add_workers(GString *text, const replay_shape_t *shape,
			size_t n_domains)
{
	size_t i;

	for (i = 0; i < shape->workers; i++) {
		const char *domain = shape->domains[i % n_domains];
		size_t index_in_domain = i / n_domains;

		g_string_append_printf(text, "[worker %s-w%zu]\ndomain=%s\n",
				       domain, index_in_domain, domain);
		add_address(text, HOST_WORKER, i);
		g_string_append_printf(
			text,
			":%d\nrack=%s-r%zu\nshard=%zu\n"
			"cores=%u\nmemory_mb=%u\n",
			EXECUTOR_AND_WORKER_PORT, domain,
			index_in_domain / shape->workers_per_rack,
			index_in_domain % shape->shards_per_domain,
			shape->worker_cores, shape->worker_memory_mb);
	}
}

/* Appends an address that is unique up to 64000 hosts of a kind. */
static void add_address(GString *text, enum host_kind kind, size_t index)
{
	g_string_append_printf(text, "address=10.%d.%zu.%zu", kind, index / 250,
			       index % 250 + 1);
}
