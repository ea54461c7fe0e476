/*
 * The operators' document, parsed and validated: departments, services,
 * failure domains, entry hosts, executors, workers and policy.
 *
 * The text is in INI format; geraniumhoist-document(5) describes it.  A
 * parsed document is immutable.  A handle is an index into one of the
 * document's tables and is valid for that document only; across generations
 * an object is identified by its name.
 */
#ifndef CORE_DOCUMENT_H
#define CORE_DOCUMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "core_time.h"
#include "error.h"

#define GH_NAME_MAX 47	  /* max bytes of a name, without the final NUL */
#define GH_ADDRESS_MAX 63 /* max bytes of "a.b.c.d:port" or an IPv4 address */
#define GH_DOCUMENT_MAX (1000 * 1024) /* max bytes of a document's text */

typedef uint16_t gh_handle_t;

#define GH_HANDLE_NONE UINT16_MAX

typedef enum gh_class {
	GH_CLASS_LATENCY,
	GH_CLASS_BATCH,
	GH_CLASS_COUNT
} gh_class_t;

/*
 * State of a host as set by the operator.  A leaving host gets no new work; a
 * gone host has no work, and another host may use its address.
 */
typedef enum gh_host_state {
	GH_HOST_ACTIVE,
	GH_HOST_LEAVING,
	GH_HOST_GONE
} gh_host_state_t;

typedef struct gh_policy {
#define POLICY(field, value, min, max, help) int64_t field;
#include "core_policy_list.h"
#undef POLICY
} gh_policy_t;

typedef struct gh_department {
	char name[GH_NAME_MAX + 1];
	/*
	 * weight in the division of capacity that is not guaranteed to any
	 * department, 1 to 1000
	 */
	uint32_t weight;
	/*
	 * percentage of the slots and of the workers' resources that is
	 * guaranteed to the department
	 */
	uint32_t guarantee_percent;
	/*
	 * max percentage of slots and resources that the department may use,
	 * borrowed capacity included
	 */
	uint32_t limit_percent;
	/* max number of unfinished jobs of the department, per shard */
	uint32_t jobs_max;
} gh_department_t;

typedef struct gh_service {
	char name[GH_NAME_MAX + 1];
	gh_handle_t department;
	gh_class_t class;
	/* declared run time of a request of the service */
	uint32_t expected_ms;
} gh_service_t;

typedef struct gh_domain {
	char name[GH_NAME_MAX + 1];
	char region[GH_NAME_MAX + 1];
} gh_domain_t;

/* An entry host, which runs one daemon of the system. */
typedef struct gh_entry {
	char name[GH_NAME_MAX + 1];
	char address[GH_ADDRESS_MAX + 1]; /* IPv4 address */
	gh_handle_t domain;
	uint16_t front_port;
	uint16_t console_port;
	uint16_t peer_port;
	gh_host_state_t state;
} gh_entry_t;

typedef struct gh_executor {
	char name[GH_NAME_MAX + 1];
	char address[GH_ADDRESS_MAX + 1]; /* IPv4 address and port */
	gh_handle_t domain;
	uint16_t slots;	      /* max concurrent requests */
	uint16_t connections; /* max connections from all entry hosts */
	gh_host_state_t state;
	/* services that the executor runs; NULL: all services */
	gh_handle_t *services;
	size_t n_services;
} gh_executor_t;

typedef struct gh_worker {
	char name[GH_NAME_MAX + 1];
	char address[GH_ADDRESS_MAX + 1]; /* IPv4 address and port */
	char rack[GH_NAME_MAX + 1];
	gh_handle_t domain;
	/*
	 * index of the worker's shard within the domain, below
	 * shards_per_domain
	 */
	uint16_t shard;
	/* cores of the worker, in thousandths of a core */
	uint32_t cores_milli;
	uint32_t memory_mb;
	uint32_t accelerators;
	gh_host_state_t state;
} gh_worker_t;

typedef struct gh_document {
	uint64_t generation;
	char *text; /* the text given to gh_document_parse(), NUL-terminated */
	size_t text_len;
	gh_policy_t policy;
	gh_department_t *departments;
	size_t n_departments;
	gh_service_t *services;
	size_t n_services;
	gh_domain_t *domains;
	size_t n_domains;
	gh_entry_t *entries;
	size_t n_entries;
	gh_executor_t *executors;
	size_t n_executors;
	gh_worker_t *workers;
	size_t n_workers;
	struct gh_document_index *index; /* maps names to handles */
	int refs;			 /* reference count, atomic */
} gh_document_t;

/*
 * Parses and validates a document.  The new document holds one reference.
 * Returns NULL if the text is invalid; the message of *err then names the
 * group, key and value and how to correct them.
 */
gh_document_t *gh_document_parse(const char *text, size_t len,
				 uint64_t generation, GError **err);

gh_document_t *gh_document_ref(gh_document_t *doc);
void gh_document_unref(gh_document_t *doc);

/*
 * Look up an object of a document by its name; GH_HANDLE_NONE if the document
 * has none of that name.
 */
gh_handle_t gh_document_department(const gh_document_t *doc, const char *name);
gh_handle_t gh_document_service(const gh_document_t *doc, const char *name);
gh_handle_t gh_document_domain(const gh_document_t *doc, const char *name);
gh_handle_t gh_document_entry(const gh_document_t *doc, const char *name);
gh_handle_t gh_document_executor(const gh_document_t *doc, const char *name);
gh_handle_t gh_document_worker(const gh_document_t *doc, const char *name);

/* Describes one key of a group of the document, for forms and help. */
typedef struct gh_document_key {
	const char *key;
	const char *fallback;	    /* default value; NULL: key is required */
	const char *help;	    /* one-line description, or NULL */
	const char *const *choices; /* NULL-terminated list; NULL: any value */
	const char *reference; /* group keyword that values refer to, or NULL */
	int64_t min;	       /* min value, if the key's value is a number */
	int64_t max; /* max value; equals min if the key is no number */
} gh_document_key_t;

/*
 * Describes up to max keys of the groups with a keyword, such as "worker" or
 * "policy".  Returns the number of keys described; 0 for an unknown keyword.
 */
size_t gh_document_keys(const char *keyword, gh_document_key_t *keys,
			size_t max);

/*
 * Checks that an operator may replace the document old by new; fails with
 * GH_E_FOREIGN_SECTION if not.  A department's operator may change the
 * department's services and its jobs_max.  The operator "platform" may change
 * everything else: it adds and removes departments and sets their shares, but
 * it may not change services, and may add a service only together with its
 * department.  Values are compared as text.  If old is NULL, the old document
 * is empty.
 */
bool gh_document_may_replace(const gh_document_t *old, const gh_document_t *new,
			     const char *operator_name, GError **err);

/*
 * Lists the differences between the texts of two documents, group by group and
 * key by key, as lines "+ [group] key=value", "- [group] key=value" and "~
 * [group] key=old -> new".  The returned text is freed with g_free().
 */
char *gh_document_diff(const char *old_text, const char *new_text);

#endif
