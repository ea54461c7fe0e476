#include "fleet_domains.h"

#include <inttypes.h>
#include <pthread.h>

#include "clock.h"
#include "counter.h"
#include "log.h"

typedef struct request {
	uint64_t revision;
	gh_time_t known_at;
} request_t;

struct fleet_domains {
	const fleet_store_ops_t *ops;
	const fleet_watch_t *watch;
	uint64_t version;
	GHashTable *odd_keys; /* set of keys that were logged */
	GPtrArray *names;     /* of requests, owned by the table */
	pthread_mutex_t lock;
	GHashTable *requests; /* request_t by domain; guarded by lock */
};

static void log_odd_key(fleet_domains_t *domains, const fleet_item_t *item);
static bool set_request(fleet_domains_t *domains, const char *domain,
			const fleet_item_t *item);
static void log_request(const fleet_domains_t *domains, const char *event,
			const char *domain, uint64_t revision);
static void list_names(fleet_domains_t *domains);

fleet_domains_t *fleet_domains_new(const fleet_store_ops_t *ops)
{
	fleet_domains_t *domains = g_new0(fleet_domains_t, 1);

	domains->ops = ops;
	domains->odd_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	domains->requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	domains->names = g_ptr_array_new();
	pthread_mutex_init(&domains->lock, NULL);
	return domains;
}

void fleet_domains_free(fleet_domains_t *domains)
{
	if (!domains)
		return;
	g_hash_table_destroy(domains->odd_keys);
	g_hash_table_destroy(domains->requests);
	g_ptr_array_free(domains->names, TRUE);
	pthread_mutex_destroy(&domains->lock);
	g_free(domains);
}

void fleet_domains_set_watch(fleet_domains_t *domains,
			     const fleet_watch_t *watch)
{
	domains->watch = watch;
}

bool fleet_domains_take(fleet_domains_t *domains, const fleet_item_t *item)
{
	char domain[GH_DOMAIN_MAX + 1];

	switch (domains->ops->parse_request(item->key, domain)) {
	case FLEET_REQUEST_EMPTY_DOMAIN:
		return set_request(domains, domain, item);
	case FLEET_REQUEST_ODD:
		log_odd_key(domains, item);
		return false;
	default:
		return false;
	}
}

/* A key that another writer renews is logged once. */
static void log_odd_key(fleet_domains_t *domains, const fleet_item_t *item)
{
	if (!item->value) {
		g_hash_table_remove(domains->odd_keys, item->key);
		return;
	}
	if (!g_hash_table_add(domains->odd_keys, g_strdup(item->key)))
		return;
	counter_inc(CTR_DOMAIN_REQUESTS_UNREAD);
	log_event(LOG_WARN, "domain_request_unread", "key", item->key,
		  "revision", log_num((int64_t)item->revision), NULL);
}

static bool set_request(fleet_domains_t *domains, const char *domain,
			const fleet_item_t *item)
{
	bool known = g_hash_table_contains(domains->requests, domain);
	request_t *request;

	if (known == (item->value != NULL))
		return false;
	pthread_mutex_lock(&domains->lock);
	if (known) {
		g_hash_table_remove(domains->requests, domain);
	} else {
		request = g_new(request_t, 1);
		*request = (request_t){ .revision = item->revision,
					.known_at = clock_boot() };
		g_hash_table_insert(domains->requests, g_strdup(domain),
				    request);
	}
	pthread_mutex_unlock(&domains->lock);
	domains->version++;
	list_names(domains);
	counter_inc(known ? CTR_DOMAIN_REQUESTS_OVER : CTR_DOMAIN_REQUESTS);
	log_request(domains, known ? "domain_request_over" : "domain_request",
		    domain, item->revision);
	return true;
}

/* Logs the change and for how long it can have been unknown to this host. */
static void log_request(const fleet_domains_t *domains, const char *event,
			const char *domain, uint64_t revision)
{
	gh_time_t heard_at = fleet_domains_heard_at(domains);

	log_event(LOG_INFO, event, "domain", domain, "revision",
		  log_num((int64_t)revision), "silent_ms",
		  heard_at ? log_num(gh_time_to_ms(clock_boot() - heard_at)) :
			     NULL,
		  NULL);
}

static void list_names(fleet_domains_t *domains)
{
	GHashTableIter iter;
	gpointer name;

	g_ptr_array_set_size(domains->names, 0);
	g_hash_table_iter_init(&iter, domains->requests);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		g_ptr_array_add(domains->names, name);
}

uint64_t fleet_domains_version(const fleet_domains_t *domains)
{
	return domains->version;
}

gh_time_t fleet_domains_heard_at(const fleet_domains_t *domains)
{
	return domains->watch ? fleet_watch_current_at(domains->watch) : 0;
}

const char *const *fleet_domains_names(const fleet_domains_t *domains,
				       size_t *n)
{
	*n = domains->names->len;
	return (const char *const *)domains->names->pdata;
}

char *fleet_domains_format(fleet_domains_t *domains)
{
	GString *text = g_string_new(NULL);
	gh_time_t heard_at = fleet_domains_heard_at(domains);
	gh_time_t now = clock_boot();
	GHashTableIter iter;
	gpointer name, value;

	pthread_mutex_lock(&domains->lock);
	g_string_printf(text, "domains_emptied %u\n",
			g_hash_table_size(domains->requests));
	g_hash_table_iter_init(&iter, domains->requests);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const request_t *request = value;
		char *label = g_strescape(name, NULL);

		g_string_append_printf(
			text,
			"domain_emptied_ms{domain=\"%s\",revision=\"%" PRIu64
			"\"} %" PRId64 "\n",
			label, request->revision,
			gh_time_to_ms(now - request->known_at));
		g_free(label);
	}
	pthread_mutex_unlock(&domains->lock);
	if (heard_at)
		g_string_append_printf(text, "domains_heard_ms %" PRId64 "\n",
				       gh_time_to_ms(now - heard_at));
	return g_string_free(text, FALSE);
}
