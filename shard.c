#include "shard.h"

#include <pthread.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "node.h"
#include "shard_owner.h"

/* Constants of the 32-bit FNV-1a hash. */
#define FNV_BASIS 0x811c9dc5u
#define FNV_PRIME 0x01000193u

static shard_run_t *find_run(shard_set_t *set, const char *domain,
			     const char *job, char owner[GH_NAME_MAX + 1],
			     GError **err);
static uint32_t job_shard_index(const gh_document_t *doc, const char *job);
static bool set_owner_error(shard_set_t *set, const char *domain,
			    uint32_t index, char owner[GH_NAME_MAX + 1],
			    GError **err);
static bool finish_request(bool ok, GError *cause, GError **err);
static void record_event(node_t *node, const shard_job_t *job,
			 void (*add)(recorder_t *, gh_document_t *, gh_time_t,
				     const gh_job_spec_t *));
static json_t *shard_status_json(shard_set_t *set, const gh_document_t *doc,
				 const char *domain, uint32_t index);

bool shard_submit(shard_set_t *set, const shard_job_t *job,
		  char owner[GH_NAME_MAX + 1], GError **err)
{
	GError *cause = NULL;
	shard_run_t *run = find_run(set, job->domain, job->name, owner, &cause);
	bool ok = run && shard_run_submit(run, job, &cause);

	shard_run_unref(run);
	if (ok) {
		counter_inc(CTR_JOB_SUBMITTED);
		record_event(set->node, job, recorder_add_job);
	}
	return finish_request(ok, cause, err);
}

bool shard_cancel(shard_set_t *set, const char *domain, const char *job,
		  char owner[GH_NAME_MAX + 1], GError **err)
{
	GError *cause = NULL;
	shard_run_t *run = find_run(set, domain, job, owner, &cause);
	bool ok = run && shard_run_cancel(run, job, &cause);
	shard_job_t cancelled = { .tasks = 0 };

	shard_run_unref(run);
	if (ok) {
		g_strlcpy(cancelled.domain, domain, sizeof(cancelled.domain));
		g_strlcpy(cancelled.name, job, sizeof(cancelled.name));
		record_event(set->node, &cancelled, recorder_add_cancel);
	}
	return finish_request(ok, cause, err);
}

json_t *shard_job_status(shard_set_t *set, const char *domain, const char *job,
			 char owner[GH_NAME_MAX + 1], GError **err)
{
	GError *cause = NULL;
	shard_run_t *run = find_run(set, domain, job, owner, &cause);
	json_t *json = run ? shard_run_job_status(run, job, &cause) : NULL;

	shard_run_unref(run);
	finish_request(json != NULL, cause, err);
	return json;
}

json_t *shard_status(shard_set_t *set)
{
	gh_document_t *doc = node_document(set->node);
	json_t *json = json_array();
	size_t i;
	uint32_t index;

	for (i = 0; doc && i < doc->n_domains; i++)
		for (index = 0; index < doc->policy.shards_per_domain; index++)
			json_array_append_new(
				json,
				shard_status_json(set, doc,
						  doc->domains[i].name, index));
	gh_document_unref(doc);
	return json;
}

/*
 * Returns a reference to the run of the shard that a job belongs to, or NULL
 * with an error.  On GH_E_NOT_OWNER owner is the owner's name, else empty.
 */
static shard_run_t *find_run(shard_set_t *set, const char *domain,
			     const char *job, char owner[GH_NAME_MAX + 1],
			     GError **err)
{
	const char *own_domain = set->node->settings->domain;
	gh_document_t *doc = node_document(set->node);
	shard_run_t *run = NULL;
	uint32_t index;

	owner[0] = '\0';
	if (!*domain)
		domain = own_domain;
	if (!doc) {
		gh_error_set(err, GH_E_STARTING, "no document is in force yet");
		return NULL;
	}
	index = job_shard_index(doc, job);
	if (gh_document_domain(doc, domain) == GH_HANDLE_NONE)
		gh_error_set(err, GH_E_REFERENCE,
			     "domain \"%s\" is not in the document", domain);
	else if (strcmp(domain, own_domain) != 0 ||
		 !(run = shard_owner_ref_run(set, index)))
		set_owner_error(set, domain, index, owner, err);
	gh_document_unref(doc);
	return run;
}

/*
 * Adds the submission or cancel of a job to the trace of events, if one is
 * being recorded.
 */
static void record_event(node_t *node, const shard_job_t *job,
			 void (*add)(recorder_t *, gh_document_t *, gh_time_t,
				     const gh_job_spec_t *))
{
	gh_document_t *doc = node->recorder ? node_document(node) : NULL;
	shard_job_t spec = *job;

	if (!doc)
		return;
	if (!*spec.domain)
		g_strlcpy(spec.domain, node->settings->domain,
			  sizeof(spec.domain));
	add(node->recorder, doc, clock_boot(), &spec);
	gh_document_unref(doc);
}

/* A job belongs to one shard of its domain, chosen by a hash of its name. */
static uint32_t job_shard_index(const gh_document_t *doc, const char *job)
{
	uint32_t hash = FNV_BASIS;

	for (; *job; job++)
		hash = (hash ^ (unsigned char)*job) * FNV_PRIME;
	return hash % (uint32_t)doc->policy.shards_per_domain;
}

/*
 * Sets the error for a shard that this host does not own, and owner to the name
 * of the other host that owns it; returns false when no such host is known.
 */
static bool set_owner_error(shard_set_t *set, const char *domain,
			    uint32_t index, char owner[GH_NAME_MAX + 1],
			    GError **err)
{
	const char *self = set->node->settings->name;
	uint64_t epoch;

	if ((shard_owner_name(set, domain, index, owner) ||
	     peer_shard_owner(set->node->peer, domain, index, owner, &epoch)) &&
	    strcmp(owner, self) != 0) {
		gh_error_set(err, GH_E_NOT_OWNER,
			     "shard %u of domain \"%s\" is owned by \"%s\"",
			     index, domain, owner);
		return true;
	}
	owner[0] = '\0';
	gh_error_set(err, GH_E_STARTING,
		     "shard %u of domain \"%s\" has no owner yet", index,
		     domain);
	return false;
}

/* Counts a failed request as a refusal and passes its error on. */
static bool finish_request(bool ok, GError *cause, GError **err)
{
	if (ok)
		return true;
	/*
	 * A request for a shard of another owner is not counted as a refusal,
	 * as the console forwards the request to that owner.
	 */
	if (gh_error_kind(cause) != GH_E_NOT_OWNER)
		counter_inc_refusals(gh_error_kind(cause));
	g_propagate_error(err, cause);
	return false;
}

static json_t *shard_status_json(shard_set_t *set, const gh_document_t *doc,
				 const char *domain, uint32_t index)
{
	bool is_own = !strcmp(domain, set->node->settings->domain);
	shard_run_t *run = is_own ? shard_owner_ref_run(set, index) : NULL;
	json_t *json = run ? shard_run_status(run) : NULL;
	char owner[GH_NAME_MAX + 1] = "";
	uint64_t epoch = 0;

	(void)doc;
	if (run)
		g_strlcpy(owner, set->node->settings->name, sizeof(owner));
	else if (!shard_owner_name(set, domain, index, owner))
		peer_shard_owner(set->node->peer, domain, index, owner, &epoch);
	shard_run_unref(run);
	if (!json)
		json = json_object();
	json_object_set_new(json, "domain", json_string(domain));
	json_object_set_new(json, "index", json_integer(index));
	json_object_set_new(json, "owner", json_string(owner));
	return json;
}
