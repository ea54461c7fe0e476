#include "config_private.h"

#include <inttypes.h>
#include <string.h>

#include "clock.h"
#include "core_patch.h"
#include "core_stamp.h"
#include "counter.h"
#include "error.h"
#include "log.h"

#define WATCH_WAIT_MS 2000
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 1000
/*
 * Maximum random delay before a host writes its document back to the store, so
 * that not all hosts write at once.
 */
#define WRITE_BACK_DELAY_MAX_MS 500
/*
 * Bounds of the random time after which a host reads the store again although
 * no change was reported.
 */
#define REREAD_MIN_MS 300000
#define REREAD_MAX_MS 600000
#define FETCH_TIMEOUT_USEC (2 * GH_USEC_PER_SEC)
#define FAILED_PEER_WAIT_USEC GH_USEC_PER_SEC
#define IDLE_HANDLES_MAX 4
#define IDLE_MAX_USEC (2 * GH_USEC_PER_SEC)
#define STATUS_OK 200

static void *follow_store(void *arg);
static void watch_store(config_t *config, uint64_t after);
static void write_back(config_t *config, const config_stored_t *stored);
static void *follow_peers(void *arg);
static bool wait_for_hint(config_t *config, char entry[GH_NAME_MAX + 1],
			  uint64_t *generation);
static void count_not_newer(config_t *config, uint64_t generation,
			    const char *text, const char *source);
static void ignore_peer(config_t *config, const char *entry);
static bool fetch_from(config_t *config, const char *address);
static bool is_signed(const config_t *config, const http_response_t *response);
static bool request_document(config_t *config, const char *address,
			     uint64_t have, http_response_t *response);
static char *response_text(const gh_document_t *base,
			   const http_response_t *response);
static void wait_for_peers(config_t *config, uint64_t generation);
static void add_to_history(config_t *config, gh_document_t *doc);
static bool is_stopping(config_t *config);
static void pause_random(config_t *config, int32_t min_ms, int32_t max_ms);
static int32_t random_ms(config_t *config, int32_t min, int32_t max);

config_t *config_new(node_t *node)
{
	config_t *config = g_new0(config_t, 1);
	char *digest;

	config->node = node;
	config->http = http_client_new(IDLE_HANDLES_MAX, IDLE_MAX_USEC);
	http_client_bind(config->http, node->settings->address);
	config->key = node_store_key(node, "document");
	digest = g_compute_hmac_for_data(
		G_CHECKSUM_SHA256, node->settings->peer_key,
		sizeof(node->settings->peer_key), (const guchar *)"document",
		strlen("document"));
	g_strlcpy(config->peer_digest, digest, sizeof(config->peer_digest));
	g_free(digest);
	config->random = g_rand_new_with_seed(g_str_hash(node->settings->name) ^
					      (guint32)clock_real());
	pthread_mutex_init(&config->propose_lock, NULL);
	pthread_mutex_init(&config->lock, NULL);
	clock_cond_init(&config->wake);
	return config;
}

bool config_start(config_t *config, GError **err)
{
	if (pthread_create(&config->store_thread, NULL, follow_store, config) ||
	    pthread_create(&config->peer_thread, NULL, follow_peers, config)) {
		gh_error_set(err, GH_E_SYSTEM,
			     "cannot start the threads that follow the "
			     "document");
		return false;
	}
	config->started = true;
	return true;
}

void config_stop(config_t *config)
{
	if (!config->started)
		return;
	pthread_mutex_lock(&config->lock);
	config->stop = true;
	pthread_cond_broadcast(&config->wake);
	pthread_mutex_unlock(&config->lock);
	pthread_join(config->store_thread, NULL);
	pthread_join(config->peer_thread, NULL);
	config->started = false;
}

void config_free(config_t *config)
{
	unsigned i;

	if (!config)
		return;
	config_stop(config);
	for (i = 0; i < CONFIG_HISTORY; i++)
		gh_document_unref(config->history[i]);
	http_client_free(config->http);
	g_rand_free(config->random);
	pthread_mutex_destroy(&config->propose_lock);
	pthread_mutex_destroy(&config->lock);
	pthread_cond_destroy(&config->wake);
	g_free(config->key);
	g_free(config);
}

void config_note_generation(config_t *config, const char *entry,
			    uint64_t generation)
{
	if (generation <= node_generation(config->node))
		return;
	pthread_mutex_lock(&config->lock);
	if (!strcmp(entry, config->failed_entry) &&
	    clock_boot() < config->failed_until) {
		pthread_mutex_unlock(&config->lock);
		return;
	}
	g_strlcpy(config->hint_entry, entry, sizeof(config->hint_entry));
	config->hint_generation = generation;
	pthread_cond_broadcast(&config->wake);
	pthread_mutex_unlock(&config->lock);
}

char *config_update_for_peer(node_t *node, uint64_t have, uint64_t *generation)
{
	gh_document_t *doc = node_document(node);
	gh_document_t *base;
	char *text;

	if (!doc)
		return NULL;
	*generation = doc->generation;
	base = have ? config_find_document(node->config, have) : NULL;
	if (base)
		text = gh_patch_make(base->text, have, doc->text,
				     doc->generation);
	else
		text = g_strdup(doc->text);
	gh_document_unref(base);
	gh_document_unref(doc);
	return text;
}

char *config_digest(const node_t *node, const char *text)
{
	const settings_t *settings = node->settings;

	return g_compute_hmac_for_data(G_CHECKSUM_SHA256, settings->peer_key,
				       sizeof(settings->peer_key),
				       (const guchar *)text, strlen(text));
}

bool config_read_store(config_t *config, config_stored_t *stored, GError **err)
{
	store_t *store = config->node->store;
	store_value_t value = { 0 };
	GError *cause = NULL;
	gh_stamp_t stamp;

	*stored = (config_stored_t){ .version = STORE_ABSENT };
	if (!store->ops->get(store, config->key, &value, &cause)) {
		if (gh_error_kind(cause) == GH_E_NOT_FOUND) {
			g_error_free(cause);
			return true;
		}
		g_propagate_error(err, cause);
		return false;
	}
	counter_add(CTR_DOC_BYTES, strlen(value.text));
	stored->version = value.version;
	if (gh_stamp_parse(value.text, &stamp))
		stored->generation = stamp.generation;
	config_adopt(config, value.text, "store");
	store_value_clear(&value);
	return true;
}

bool config_adopt(config_t *config, const char *text, const char *source)
{
	GError *err = NULL;
	gh_document_t *doc;
	gh_stamp_t stamp;

	if (!gh_stamp_parse(text, &stamp)) {
		counter_inc(CTR_DOC_INVALID);
		log_event(LOG_ERROR, "document_unstamped", "source", source,
			  NULL);
		return false;
	}
	if (stamp.generation <= node_generation(config->node)) {
		count_not_newer(config, stamp.generation, text, source);
		return false;
	}
	doc = gh_document_parse(text, strlen(text), stamp.generation, &err);
	if (!doc) {
		counter_inc(CTR_DOC_INVALID);
		log_event(LOG_ERROR, "document_invalid", "source", source,
			  "message", err->message, NULL);
		g_error_free(err);
		return false;
	}
	add_to_history(config, doc);
	log_event(LOG_INFO, "document_received", "source", source, "generation",
		  log_num((int64_t)stamp.generation), NULL);
	if (!node_apply_document(config->node, doc))
		return false;
	pthread_mutex_lock(&config->lock);
	pthread_cond_broadcast(&config->wake);
	pthread_mutex_unlock(&config->lock);
	return true;
}

/*
 * Counts a document that is not newer than the one in force.  A different text
 * of the same generation is a clash: a writer broke the rules for generations.
 */
static void count_not_newer(config_t *config, uint64_t generation,
			    const char *text, const char *source)
{
	gh_document_t *doc = node_document(config->node);

	if (generation < doc->generation) {
		counter_inc(CTR_DOC_OLDER);
	} else if (generation == doc->generation &&
		   strcmp(text, doc->text) != 0) {
		counter_inc(CTR_DOC_GENERATION_CONFLICT);
		log_event(LOG_ERROR, "document_clash", "source", source,
			  "generation", log_num((int64_t)generation), NULL);
	}
	gh_document_unref(doc);
}

bool config_fetch_entry(config_t *config, const char *entry)
{
	gh_document_t *doc = node_document(config->node);
	char *address = NULL;
	gh_handle_t handle;
	bool adopted;

	if (!doc)
		return config_fetch_seeds(config);
	handle = gh_document_entry(doc, entry);
	if (handle != GH_HANDLE_NONE)
		address = g_strdup_printf("%s:%u", doc->entries[handle].address,
					  doc->entries[handle].console_port);
	gh_document_unref(doc);
	adopted = address && fetch_from(config, address);
	g_free(address);
	return adopted;
}

bool config_fetch_seeds(config_t *config)
{
	const settings_t *settings = config->node->settings;
	size_t i;

	for (i = 0; i < settings->n_seeds && !is_stopping(config); i++)
		if (fetch_from(config, settings->seeds[i]))
			return true;
	return false;
}

gh_document_t *config_find_document(config_t *config, uint64_t generation)
{
	gh_document_t *found = NULL;
	unsigned i;

	pthread_mutex_lock(&config->lock);
	for (i = 0; i < CONFIG_HISTORY && !found; i++)
		if (config->history[i] &&
		    config->history[i]->generation == generation)
			found = gh_document_ref(config->history[i]);
	pthread_mutex_unlock(&config->lock);
	return found;
}

void config_pause_until(config_t *config, gh_time_t until)
{
	pthread_mutex_lock(&config->lock);
	while (!config->stop && clock_boot() < until)
		clock_wait_until(&config->wake, &config->lock, until);
	pthread_mutex_unlock(&config->lock);
}

static void *follow_store(void *arg)
{
	config_t *config = arg;

	while (!is_stopping(config)) {
		GError *err = NULL;
		config_stored_t stored;
		bool read = config_read_store(config, &stored, &err);

		if (!read) {
			log_event(LOG_WARN, "store_unread", "message",
				  err->message, NULL);
			g_error_free(err);
		} else if (stored.generation < node_generation(config->node)) {
			write_back(config, &stored);
			continue;
		}
		if (!node_generation(config->node))
			config_fetch_seeds(config);
		if (read)
			watch_store(config, stored.version);
		else
			pause_random(config, RETRY_MIN_MS, RETRY_MAX_MS);
	}
	return NULL;
}

/*
 * Watches the key of the document and returns when the key has to be read
 * again: after a change that no peer sent, a reset or failure of the store, or
 * the reread interval.
 */
static void watch_store(config_t *config, uint64_t after)
{
	store_t *store = config->node->store;
	int32_t reread_ms = random_ms(config, REREAD_MIN_MS, REREAD_MAX_MS);
	gh_time_t reread_at = clock_boot() + gh_time_from_ms(reread_ms);
	uint64_t generation = node_generation(config->node);

	while (!is_stopping(config) && clock_boot() < reread_at) {
		store_changes_t changes = { 0 };
		bool reset;
		bool changed;

		if (!store->ops->watch(store, config->key, after, WATCH_WAIT_MS,
				       &changes, NULL)) {
			pause_random(config, RETRY_MIN_MS, RETRY_MAX_MS);
			return;
		}
		after = changes.revision;
		reset = changes.reset;
		changed = changes.keys->len > 0;
		store_changes_clear(&changes);
		if (changed)
			wait_for_peers(config, generation);
		if (reset || !generation ||
		    (changed && node_generation(config->node) == generation))
			return;
		generation = node_generation(config->node);
	}
}

/*
 * Waits for a newer document from a peer, which sends only the changes; the
 * store would send the whole text.
 */
static void wait_for_peers(config_t *config, uint64_t generation)
{
	gh_time_t until = clock_boot() + gh_time_from_ms(CONFIG_PEER_GRACE_MS);

	pthread_mutex_lock(&config->lock);
	while (!config->stop && clock_boot() < until &&
	       node_generation(config->node) == generation)
		clock_wait_until(&config->wake, &config->lock, until);
	pthread_mutex_unlock(&config->lock);
}

/*
 * Writes the document in force to the store when the store has an older one, as
 * after its restore from an older copy.  The random delay makes it likely that
 * only one host writes.
 */
static void write_back(config_t *config, const config_stored_t *stored)
{
	node_t *node = config->node;
	gh_document_t *doc;
	GError *err = NULL;
	uint64_t version;

	pause_random(config, 0, WRITE_BACK_DELAY_MAX_MS);
	doc = node_document(node);
	if (store_put_confirm(node->store, config->key, doc->text,
			      stored->version, 0, &version, &err)) {
		counter_inc(CTR_DOC_WRITTEN_BACK);
		log_event(LOG_WARN, "document_written_back", "generation",
			  log_num((int64_t)doc->generation), "found",
			  log_num((int64_t)stored->generation), NULL);
	} else {
		log_event(LOG_INFO, "document_not_written_back", "message",
			  err->message, NULL);
		pause_random(config, RETRY_MIN_MS, RETRY_MAX_MS);
	}
	g_clear_error(&err);
	gh_document_unref(doc);
}

static void *follow_peers(void *arg)
{
	config_t *config = arg;
	char entry[GH_NAME_MAX + 1];
	uint64_t generation;

	while (wait_for_hint(config, entry, &generation)) {
		if (config_fetch_entry(config, entry) ||
		    node_generation(config->node) >= generation)
			continue;
		log_event(LOG_INFO, "document_not_fetched", "peer", entry,
			  NULL);
		ignore_peer(config, entry);
	}
	return NULL;
}

/* Ignores for a while a peer whose document could not be fetched. */
static void ignore_peer(config_t *config, const char *entry)
{
	pthread_mutex_lock(&config->lock);
	g_strlcpy(config->failed_entry, entry, sizeof(config->failed_entry));
	config->failed_until = clock_boot() + FAILED_PEER_WAIT_USEC;
	pthread_mutex_unlock(&config->lock);
}

/* Waits until a peer reports a newer document; false after config_stop(). */
static bool wait_for_hint(config_t *config, char entry[GH_NAME_MAX + 1],
			  uint64_t *generation)
{
	bool running;

	pthread_mutex_lock(&config->lock);
	while (!config->stop &&
	       config->hint_generation <= node_generation(config->node))
		pthread_cond_wait(&config->wake, &config->lock);
	running = !config->stop;
	*generation = config->hint_generation;
	config->hint_generation = 0;
	g_strlcpy(entry, config->hint_entry, GH_NAME_MAX + 1);
	pthread_mutex_unlock(&config->lock);
	return running;
}

/*
 * Fetches the changes to the document in force from the console at address.  If
 * no document is in force, or if the patch cannot be applied, fetches the whole
 * text.
 */
static bool fetch_from(config_t *config, const char *address)
{
	gh_document_t *base = node_document(config->node);
	http_response_t response = { 0 };
	char *text = NULL;
	bool received;
	bool adopted;

	received = request_document(config, address,
				    base ? base->generation : 0, &response);
	if (received)
		text = response_text(base, &response);
	http_response_clear(&response);
	if (received && !text &&
	    request_document(config, address, 0, &response))
		text = response_text(NULL, &response);
	http_response_clear(&response);
	adopted = text && config_adopt(config, text, address);
	if (adopted)
		counter_inc(CTR_DOC_FROM_PEER);
	gh_document_unref(base);
	g_free(text);
	return adopted;
}

/*
 * Requests the document from an entry host.  have is the generation in force
 * here, or 0 for none.
 */
static bool request_document(config_t *config, const char *address,
			     uint64_t have, http_response_t *response)
{
	char *url = g_strdup_printf("http://%s/v1/document?have=%" PRIu64,
				    address, have);
	char *header =
		g_strdup_printf("X-Peer-Digest: %s", config->peer_digest);
	const char *const headers[] = { header, NULL };
	http_call_t call = {
		.method = "GET",
		.url = url,
		.headers = headers,
		.deadline = clock_boot() + FETCH_TIMEOUT_USEC,
	};
	bool ok = http_client_call(config->http, &call, response) &&
		  response->status == STATUS_OK && is_signed(config, response);

	if (ok)
		counter_add(CTR_DOC_BYTES, response->body_len);
	else if (response->fault == HTTP_FAULT_TIMEOUT)
		http_client_drop_idle(config->http);
	g_free(header);
	g_free(url);
	return ok;
}

/* Whether the response is authenticated by the peer key. */
static bool is_signed(const config_t *config, const http_response_t *response)
{
	const char *given = http_response_header(response, "x-document-digest");
	char *expected = config_digest(config->node, response->body);
	bool valid = given && !strcmp(given, expected);

	g_free(expected);
	if (!valid)
		counter_inc(CTR_PEER_BAD_DIGEST);
	return valid;
}

/* Returns the document's text from a response, which may be a patch to base. */
static char *response_text(const gh_document_t *base,
			   const http_response_t *response)
{
	GError *err = NULL;
	char *text;

	if (!base || !g_str_has_prefix(response->body, "patch "))
		return g_strdup(response->body);
	text = gh_patch_apply(base->text, base->generation, response->body,
			      &err);
	if (!text) {
		counter_inc(CTR_DOC_BAD_PATCH);
		log_event(LOG_ERROR, "document_patch", "message", err->message,
			  NULL);
		g_error_free(err);
	}
	return text;
}

/*
 * Adds a document to the ring buffer of the last CONFIG_HISTORY documents, in
 * place of the oldest.
 */
static void add_to_history(config_t *config, gh_document_t *doc)
{
	gh_document_t **slot;

	pthread_mutex_lock(&config->lock);
	slot = &config->history[config->n_history++ % CONFIG_HISTORY];
	gh_document_unref(*slot);
	*slot = gh_document_ref(doc);
	pthread_mutex_unlock(&config->lock);
}

static bool is_stopping(config_t *config)
{
	bool stop;

	pthread_mutex_lock(&config->lock);
	stop = config->stop;
	pthread_mutex_unlock(&config->lock);
	return stop;
}

static void pause_random(config_t *config, int32_t min_ms, int32_t max_ms)
{
	int32_t ms = random_ms(config, min_ms, max_ms);

	config_pause_until(config, clock_boot() + gh_time_from_ms(ms));
}

static int32_t random_ms(config_t *config, int32_t min, int32_t max)
{
	int32_t value;

	pthread_mutex_lock(&config->lock);
	value = g_rand_int_range(config->random, min, max + 1);
	pthread_mutex_unlock(&config->lock);
	return value;
}
