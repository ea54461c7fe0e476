#include "shard.h"

#include <pthread.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "node.h"
#include "shard_owner.h"

#define FNV_BASIS 0x811c9dc5u
#define FNV_PRIME 0x01000193u

static shard_run_t *locate(shard_set_t *set, const char *domain,
			   const char *job, char owner[GH_NAME_MAX + 1],
			   GError **err);
static uint32_t shard_of(const gh_document_t *doc, const char *job);
static bool other_owner(shard_set_t *set, const char *domain, uint32_t index,
			char owner[GH_NAME_MAX + 1], GError **err);
static bool count_refusal(bool ok, GError *cause, GError **err);
static void record(node_t *node, const shard_job_t *job,
		   void (*add)(recorder_t *, gh_document_t *, gh_time_t,
			       const gh_job_spec_t *));
static json_t *shard_status_of(shard_set_t *set, const gh_document_t *doc,
			       const char *domain, uint32_t index);

bool shard_submit(shard_set_t *set, const shard_job_t *job,
		  char owner[GH_NAME_MAX + 1], GError **err)
{
	GError *cause = NULL;
	shard_run_t *run = locate(set, job->domain, job->name, owner, &cause);
	bool ok = run && shard_run_submit(run, job, &cause);

	shard_run_unref(run);
	if (ok) {
		counter_inc(CTR_JOB_SUBMITTED);
		record(set->node, job, recorder_job);
	}
	return count_refusal(ok, cause, err);
}

bool shard_cancel(shard_set_t *set, const char *domain, const char *job,
		  char owner[GH_NAME_MAX + 1], GError **err)
{
	GError *cause = NULL;
	shard_run_t *run = locate(set, domain, job, owner, &cause);
	bool ok = run && shard_run_cancel(run, job, &cause);
	shard_job_t named = { .tasks = 0 };

	shard_run_unref(run);
	if (ok) {
		g_strlcpy(named.domain, domain, sizeof(named.domain));
		g_strlcpy(named.name, job, sizeof(named.name));
		record(set->node, &named, recorder_cancel);
	}
	return count_refusal(ok, cause, err);
}

json_t *shard_job_status(shard_set_t *set, const char *domain, const char *job,
			 char owner[GH_NAME_MAX + 1], GError **err)
{
	GError *cause = NULL;
	shard_run_t *run = locate(set, domain, job, owner, &cause);
	json_t *json = run ? shard_run_job_status(run, job, &cause) : NULL;

	shard_run_unref(run);
	count_refusal(json != NULL, cause, err);
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
				shard_status_of(set, doc, doc->domains[i].name,
						index));
	gh_document_unref(doc);
	return json;
}

/* The run of the shard that a job belongs to, with a reference. */
static shard_run_t *locate(shard_set_t *set, const char *domain,
			   const char *job, char owner[GH_NAME_MAX + 1],
			   GError **err)
{
	const char *own = set->node->settings->domain;
	gh_document_t *doc = node_document(set->node);
	shard_run_t *run = NULL;
	uint32_t index;

	owner[0] = '\0';
	if (!*domain)
		domain = own;
	if (!doc) {
		gh_error_set(err, GH_E_STARTING, "no document is in force yet");
		return NULL;
	}
	index = shard_of(doc, job);
	if (gh_document_domain(doc, domain) == GH_HANDLE_NONE)
		gh_error_set(err, GH_E_REFERENCE,
			     "domain \"%s\" is not in the document", domain);
	else if (strcmp(domain, own) != 0 ||
		 !(run = shard_owner_ref_run(set, index)))
		other_owner(set, domain, index, owner, err);
	gh_document_unref(doc);
	return run;
}

/* Adds a job's event to the trace, if one is recorded. */
static void record(node_t *node, const shard_job_t *job,
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

/* A job belongs to one shard of its domain, by its name. */
static uint32_t shard_of(const gh_document_t *doc, const char *job)
{
	uint32_t hash = FNV_BASIS;

	for (; *job; job++)
		hash = (hash ^ (unsigned char)*job) * FNV_PRIME;
	return hash % (uint32_t)doc->policy.shards_per_domain;
}

static bool other_owner(shard_set_t *set, const char *domain, uint32_t index,
			char owner[GH_NAME_MAX + 1], GError **err)
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

static bool count_refusal(bool ok, GError *cause, GError **err)
{
	if (ok)
		return true;
	/* A call for another owner is passed on by the console. */
	if (gh_error_kind(cause) != GH_E_NOT_OWNER)
		counter_refusal(gh_error_kind(cause));
	g_propagate_error(err, cause);
	return false;
}

static json_t *shard_status_of(shard_set_t *set, const gh_document_t *doc,
			       const char *domain, uint32_t index)
{
	bool own = !strcmp(domain, set->node->settings->domain);
	shard_run_t *run = own ? shard_owner_ref_run(set, index) : NULL;
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
