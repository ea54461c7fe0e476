#include "node.h"

#include <signal.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>
#include <urcu-bp.h>

#include "clock.h"
#include "counter.h"
#include "log.h"

void node_init(node_t *node, settings_t *settings)
{
	memset(node, 0, sizeof(*node));
	node->settings = settings;
	node->started = clock_boot();
	pthread_mutex_init(&node->apply_lock, NULL);
	node->store =
		store_http_new(settings->store_url, settings->store_timeout_ms,
			       settings->store_calls_per_s);
}

void node_clear(node_t *node)
{
	store_free(node->store);
	gh_document_unref(node->document);
	pthread_mutex_destroy(&node->apply_lock);
	memset(node, 0, sizeof(*node));
}

gh_document_t *node_document(node_t *node)
{
	gh_document_t *doc;

	rcu_read_lock();
	doc = rcu_dereference(node->document);
	if (doc)
		gh_document_ref(doc);
	rcu_read_unlock();
	return doc;
}

bool node_apply_document(node_t *node, gh_document_t *doc)
{
	uint64_t generation = doc->generation;
	gh_document_t *previous;
	bool is_newer;

	pthread_mutex_lock(&node->apply_lock);
	previous = node->document;
	is_newer = !previous || generation > previous->generation;
	if (is_newer)
		rcu_assign_pointer(node->document, doc);
	pthread_mutex_unlock(&node->apply_lock);
	if (!is_newer) {
		counter_inc(CTR_DOC_OLDER);
		gh_document_unref(doc);
		return false;
	}
	synchronize_rcu();
	gh_document_unref(previous);
	counter_inc(CTR_DOC_APPLIED);
	log_event(LOG_INFO, "document_applied", "generation",
		  log_num((int64_t)generation), NULL);
	return true;
}

uint64_t node_generation(node_t *node)
{
	const gh_document_t *doc;
	uint64_t generation;

	rcu_read_lock();
	doc = rcu_dereference(node->document);
	generation = doc ? doc->generation : 0;
	rcu_read_unlock();
	return generation;
}

char *node_store_key(const node_t *node, const char *fmt, ...)
{
	va_list ap;
	char *suffix;
	char *key;

	va_start(ap, fmt);
	suffix = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	key = g_strconcat(node->settings->prefix, "/", suffix, NULL);
	g_free(suffix);
	return key;
}

bool node_is_draining(const node_t *node)
{
	return atomic_load(&node->draining);
}

void node_request_drain(node_t *node)
{
	(void)node;
	kill(getpid(), SIGTERM);
}
