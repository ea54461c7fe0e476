#include "shard_json.h"

#include <string.h>

#include "shard.h"

#define NAME_CHARS                                                       \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789" \
	"_-."
#define CORES_MILLI_MAX 100000000
#define MEMORY_MB_MAX 1000000000
#define ACCELERATORS_MAX 100000
#define RUN_MS_MAX 31536000000LL /* max run time of a task: one year */

/* JSON key of a text field, and the offset of its member in shard_job_t. */
typedef struct text_field {
	const char *key;
	size_t offset;
	bool required;
} text_field_t;

/*
 * JSON key and range of a number field, and the offset of its member in
 * shard_job_t.
 */
typedef struct number_field {
	const char *key;
	size_t offset;
	int64_t min;
	int64_t max;
} number_field_t;

static const text_field_t name_fields[] = {
	{ "name", offsetof(shard_job_t, name), true },
	{ "department", offsetof(shard_job_t, department), true },
	{ "domain", offsetof(shard_job_t, domain), false },
	{ "kind", offsetof(shard_job_t, kind), false },
};

static const number_field_t number_fields[] = {
	{ "tasks", offsetof(shard_job_t, tasks), 1, GH_JOB_TASKS_MAX },
	{ "cores_milli", offsetof(shard_job_t, cores_milli), 1,
	  CORES_MILLI_MAX },
	{ "memory_mb", offsetof(shard_job_t, memory_mb), 0, MEMORY_MB_MAX },
	{ "accelerators", offsetof(shard_job_t, accelerators), 0,
	  ACCELERATORS_MAX },
};

/* Keys of the fields that parse_other_fields() reads. */
static const char *const other_keys[] = { "class", "urgent", "run_ms",
					  "command" };

static bool check_keys(const json_t *json, GError **err);
static bool is_known_key(const char *key);
static bool parse_name(const json_t *json, const text_field_t *field,
		       shard_job_t *job, GError **err);
static bool parse_number(const json_t *json, const number_field_t *field,
			 shard_job_t *job, GError **err);
static bool parse_other_fields(const json_t *json, shard_job_t *job,
			       GError **err);
static bool set_value_error(const char *key, const char *expected,
			    GError **err);
static const char *job_state_name(const gh_job_t *job);
static json_t *task_counts_json(const uint32_t count[GH_TASK_STATE_COUNT]);
static json_t *resources_json(const gh_resources_t *size);
static json_t *department_json(const gh_quota_t *quota, gh_handle_t department);
static json_t *worker_json(gh_shard_t *shard, gh_handle_t worker);

bool shard_job_parse(const json_t *json, shard_job_t *job, GError **err)
{
	size_t i;

	memset(job, 0, sizeof(*job));
	job->tasks = 1;
	if (!json_is_object(json))
		return set_value_error("job", "an object", err);
	if (!check_keys(json, err))
		return false;
	for (i = 0; i < G_N_ELEMENTS(name_fields); i++)
		if (!parse_name(json, &name_fields[i], job, err))
			return false;
	for (i = 0; i < G_N_ELEMENTS(number_fields); i++)
		if (!parse_number(json, &number_fields[i], job, err))
			return false;
	if (!job->kind[0])
		g_strlcpy(job->kind, "task", sizeof(job->kind));
	return parse_other_fields(json, job, err);
}

json_t *shard_json_job(gh_shard_t *shard, const char *name, GError **err)
{
	gh_task_table_t *tasks = gh_shard_tasks(shard);
	gh_job_ref_t ref = gh_job_find(tasks, name);
	const gh_job_t *job;

	if (ref == GH_JOB_NONE) {
		gh_error_set(err, GH_E_JOB_UNKNOWN, "job \"%s\" does not exist",
			     name);
		return NULL;
	}
	job = gh_job_at(tasks, ref);
	return json_pack(
		"{s:s, s:s, s:s, s:s, s:b, s:I, s:s, s:o}", "name",
		job->spec->name, "department", job->spec->department, "kind",
		job->spec->kind, "class",
		job->spec->class == GH_CLASS_LATENCY ? "latency" : "batch",
		"urgent", job->spec->urgent, "size",
		(json_int_t)job->spec->tasks, "state", job_state_name(job),
		"tasks", task_counts_json(job->count));
}

json_t *shard_json_status(gh_shard_t *shard)
{
	gh_task_table_t *tasks = gh_shard_tasks(shard);
	const gh_quota_t *quota = gh_shard_quota(shard);
	json_t *departments = json_array();
	json_t *workers = json_array();
	uint32_t count[GH_TASK_STATE_COUNT];
	size_t i;

	for (i = 0; i < GH_TASK_STATE_COUNT; i++)
		count[i] = gh_task_count(tasks, (gh_task_state_t)i);
	for (i = 0; i < gh_quota_count(quota); i++)
		json_array_append_new(departments,
				      department_json(quota, (gh_handle_t)i));
	for (i = 0; i < gh_place_count(gh_shard_place(shard)); i++)
		json_array_append_new(workers,
				      worker_json(shard, (gh_handle_t)i));
	return json_pack("{s:I, s:I, s:o, s:o, s:o}", "epoch",
			 (json_int_t)gh_task_epoch(tasks), "jobs_unfinished",
			 (json_int_t)gh_job_count_unfinished(tasks), "tasks",
			 task_counts_json(count), "departments", departments,
			 "workers", workers);
}

static bool check_keys(const json_t *json, GError **err)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)json, key, value)
	{
		if (is_known_key(key))
			continue;
		gh_error_set(err, GH_E_UNKNOWN_KEY, "job: unknown key \"%s\"",
			     key);
		return false;
	}
	return true;
}

static bool is_known_key(const char *key)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(name_fields); i++)
		if (!strcmp(key, name_fields[i].key))
			return true;
	for (i = 0; i < G_N_ELEMENTS(number_fields); i++)
		if (!strcmp(key, number_fields[i].key))
			return true;
	for (i = 0; i < G_N_ELEMENTS(other_keys); i++)
		if (!strcmp(key, other_keys[i]))
			return true;
	return false;
}

static bool parse_name(const json_t *json, const text_field_t *field,
		       shard_job_t *job, GError **err)
{
	const json_t *value = json_object_get(json, field->key);
	const char *text = json_string_value(value);
	char *target = (char *)job + field->offset;

	if (!value && !field->required)
		return true;
	if (!value) {
		gh_error_set(err, GH_E_MISSING_KEY, "job: missing key \"%s\"",
			     field->key);
		return false;
	}
	if (text && !*text && !field->required)
		return true;
	if (!text || !*text || strlen(text) > GH_NAME_MAX ||
	    strspn(text, NAME_CHARS) != strlen(text))
		return set_value_error(
			field->key, "1 to 47 letters, digits, '-', '_' and '.'",
			err);
	g_strlcpy(target, text, GH_NAME_MAX + 1);
	return true;
}

/*
 * Parses one number.  A missing number leaves the field's default, and is an
 * error if that default is below the field's minimum.
 */
static bool parse_number(const json_t *json, const number_field_t *field,
			 shard_job_t *job, GError **err)
{
	const json_t *value = json_object_get(json, field->key);
	uint32_t *target = (uint32_t *)((char *)job + field->offset);
	char *expected;

	if (!value && (*target || !field->min))
		return true;
	if (json_is_integer(value) && json_integer_value(value) >= field->min &&
	    json_integer_value(value) <= field->max) {
		*target = (uint32_t)json_integer_value(value);
		return true;
	}
	expected = g_strdup_printf("%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
				   field->min, field->max);
	set_value_error(field->key, expected, err);
	g_free(expected);
	return false;
}

static bool parse_other_fields(const json_t *json, shard_job_t *job,
			       GError **err)
{
	const json_t *class = json_object_get(json, "class");
	const json_t *urgent = json_object_get(json, "urgent");
	const json_t *run_ms = json_object_get(json, "run_ms");
	const json_t *command = json_object_get(json, "command");
	const char *class_name = class ? json_string_value(class) : "batch";
	const char *text = command ? json_string_value(command) : "";

	if (!class_name || (strcmp(class_name, "batch") != 0 &&
			    strcmp(class_name, "latency") != 0))
		return set_value_error("class", "batch or latency", err);
	if (urgent && !json_is_boolean(urgent))
		return set_value_error("urgent", "true or false", err);
	if (run_ms &&
	    (!json_is_integer(run_ms) || json_integer_value(run_ms) < 0 ||
	     json_integer_value(run_ms) > RUN_MS_MAX))
		return set_value_error("run_ms", "0 to 31536000000", err);
	if (!text || strlen(text) > GH_COMMAND_MAX)
		return set_value_error("command",
				       "a string of at most 1024 bytes", err);
	job->class = strcmp(class_name, "latency") ? GH_CLASS_BATCH :
						     GH_CLASS_LATENCY;
	job->urgent = json_is_true(urgent);
	job->run_ms = json_integer_value(run_ms);
	g_strlcpy(job->command, text, sizeof(job->command));
	return true;
}

static bool set_value_error(const char *key, const char *expected, GError **err)
{
	gh_error_set(err, GH_E_BAD_VALUE, "job: invalid \"%s\"; expected %s",
		     key, expected);
	return false;
}

static const char *job_state_name(const gh_job_t *job)
{
	if (!gh_job_finished(job))
		return job->cancelled ? "cancelling" :
		       job->count[GH_TASK_INTENT] +
				       job->count[GH_TASK_RUNNING] +
				       job->count[GH_TASK_STOPPING] ?
					"running" :
					"pending";
	if (job->cancelled)
		return "cancelled";
	return job->count[GH_TASK_FAILED] ? "failed" : "done";
}

static json_t *task_counts_json(const uint32_t count[GH_TASK_STATE_COUNT])
{
	json_t *json = json_object();
	size_t i;

	for (i = 0; i < GH_TASK_STATE_COUNT; i++)
		json_object_set_new(json,
				    gh_task_state_name((gh_task_state_t)i),
				    json_integer((json_int_t)count[i]));
	return json;
}

static json_t *resources_json(const gh_resources_t *size)
{
	return json_pack("{s:I, s:I, s:I}", "cores_milli",
			 (json_int_t)size->cores_milli, "memory_mb",
			 (json_int_t)size->memory_mb, "accelerators",
			 (json_int_t)size->accelerators);
}

/*
 * JSON of a department's share; its idle_ppm is the unused part of the
 * guarantee, which other departments may borrow.
 */
static json_t *department_json(const gh_quota_t *quota, gh_handle_t department)
{
	const gh_quota_share_t *share = gh_quota_share(quota, department);
	uint32_t used_ppm = gh_quota_share_ppm(quota, department, NULL);
	uint32_t idle_ppm = share->guarantee_ppm > used_ppm ?
				    share->guarantee_ppm - used_ppm :
				    0;

	return json_pack(
		"{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:o}", "name", share->name,
		"guarantee_ppm", (json_int_t)share->guarantee_ppm, "limit_ppm",
		(json_int_t)share->limit_ppm, "used_ppm", (json_int_t)used_ppm,
		"borrowed_ppm",
		(json_int_t)gh_quota_borrowed_ppm(quota, department),
		"idle_ppm", (json_int_t)idle_ppm, "jobs",
		(json_int_t)share->jobs, "held", resources_json(&share->used));
}

static json_t *worker_json(gh_shard_t *shard, gh_handle_t worker)
{
	const gh_place_worker_t *w =
		gh_place_worker(gh_shard_place(shard), worker);
	const gh_worker_health_t *health =
		gh_shard_worker_health(shard, worker);
	const char *reason = "";

	if (health->ejected)
		reason = "ejected: its tasks failed";
	else if (!health->reachable)
		reason = "unreachable: the last call got no reply";
	else if (!w->usable)
		reason = "leaving, full, reserved, or limited after failures";
	return json_pack("{s:s, s:o, s:o, s:I, s:b, s:b, s:s}", "name", w->name,
			 "size", resources_json(&w->size), "held",
			 resources_json(&w->reserved), "tasks",
			 (json_int_t)w->tasks, "usable", w->usable, "ejected",
			 health->ejected, "why", reason);
}
