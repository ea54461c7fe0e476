#include "core_queue.h"

#include <string.h>

/* the mean moves 1/8 of the way to each run time */
#define RUN_GAIN_DIVISOR 8
/* the mean deviation moves 1/4 of the way to that of each run time */
#define DEVIATION_GAIN_DIVISOR 4
/* run time bound: mean + 4 deviations; few run times exceed it */
#define BOUND_DEVIATIONS 4
/* min number of run times before the deviation is used */
#define MIN_SAMPLES 8
#define PERCENT_FULL 100
/*
 * When no request of a service was dispatched for this time, one is admitted
 * regardless of the service's learned run time, so that a wrong estimate gets
 * corrected.
 */
#define RELEARN_INTERVAL_USEC GH_USEC_PER_SEC
#define MIN_RETRY_AFTER_MS 10
/* 1 in 4 dispatches prefers batch requests that waited for batch_age_ms */
#define AGED_DISPATCH_INTERVAL 4

/*
 * Safety margin, in mean deviations, that is added to a service's mean run time
 * when a request's expected end is compared with its deadline.
 */
static const gh_time_t margin_deviations[GH_CLASS_COUNT] = {
	[GH_CLASS_LATENCY] = BOUND_DEVIATIONS,
	[GH_CLASS_BATCH] = 1,
};

typedef struct department {
	char name[GH_NAME_MAX + 1];
	unsigned weight;
	unsigned guarantee_percent;
	unsigned limit_percent;
	size_t queued;
	unsigned in_flight;
} department_t;

typedef struct service {
	char name[GH_NAME_MAX + 1];
	size_t department;
	gh_class_t class;
	bool in_document;
	GQueue waiting; /* queued request_t, oldest first */
	gh_time_t mean_run;
	gh_time_t deviation; /* mean absolute deviation of the run time */
	unsigned samples;
	gh_time_t last_dispatch;
	unsigned in_flight;
} service_t;

typedef enum request_state {
	REQUEST_FREE,
	REQUEST_QUEUED,
	REQUEST_DISPATCHED
} request_state_t;

typedef struct request {
	request_state_t state;
	/*
	 * part of the request's ticket, so that tickets from earlier uses of
	 * the entry are invalid
	 */
	uint32_t reuse_count;
	size_t index;
	size_t service;
	bool is_long; /* at dispatch, the learned run time was above long_ms */
	gh_time_t deadline;
	gh_time_t queued_at;
	GList *link;
} request_t;

struct gh_queue {
	gh_policy_t policy;
	GPtrArray *departments; /* department_t; a department keeps its index */
	GPtrArray *services;	/* service_t; a service keeps its index */
	GHashTable *by_name;	/* service name to index in services + 1 */
	GPtrArray *requests;	/* request_t, unused ones included */
	GQueue free_requests;	/* unused request_t */
	size_t queued;
	unsigned long_in_flight;
	unsigned dispatches;
};

/* Sort key of a service's oldest request, compared member by member. */
typedef struct rank {
	bool above_guarantee;
	bool is_batch; /* a batch request that is not preferred for its age */
	unsigned in_flight_per_weight_milli;
	bool is_aged;
	gh_time_t mean_run;
	gh_time_t queued_at;
} rank_t;

static service_t *find_service(const gh_queue_t *queue, const char *name);
static size_t find_or_add_department(gh_queue_t *queue, const char *name);
static service_t *find_or_add_service(gh_queue_t *queue,
				      const gh_service_t *doc_service);
static department_t *get_department(const gh_queue_t *queue,
				    const service_t *service);
static request_t *find_request(const gh_queue_t *queue, gh_ticket_t ticket);
static request_t *allocate_request(gh_queue_t *queue);
static void unlink_request(gh_queue_t *queue, request_t *request);
static void release_request(gh_queue_t *queue, request_t *request);
static gh_ticket_t make_ticket(const request_t *request);
static bool has_queue_space(const gh_queue_t *queue,
			    const department_t *department,
			    gh_error_kind_t *refusal);
static bool misses_deadline(const service_t *service, bool is_oldest,
			    gh_time_t wait, gh_time_t deadline, gh_time_t now);
static bool is_at_limit(const department_t *department, unsigned slots);
static bool is_long(const gh_queue_t *queue, const service_t *service);
static bool is_at_long_limit(const gh_queue_t *queue, unsigned slots);
static unsigned percent_of(unsigned amount, unsigned percent);
static rank_t make_rank(const gh_queue_t *queue, const service_t *service,
			unsigned slots, gh_time_t now);
static bool goes_before(const rank_t *a, const rank_t *b);
static gh_time_t sum_queued_work(const gh_queue_t *queue,
				 const service_t *service, bool own_only);
static void update_run_time(service_t *service, gh_time_t run);
static void free_service(void *arg);

gh_queue_t *gh_queue_new(void)
{
	gh_queue_t *queue = g_new0(gh_queue_t, 1);

	queue->departments = g_ptr_array_new_with_free_func(g_free);
	queue->services = g_ptr_array_new_with_free_func(free_service);
	queue->requests = g_ptr_array_new_with_free_func(g_free);
	queue->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&queue->free_requests);
	return queue;
}

void gh_queue_free(gh_queue_t *queue)
{
	if (!queue)
		return;
	g_queue_clear(&queue->free_requests);
	g_ptr_array_unref(queue->departments);
	g_ptr_array_unref(queue->services);
	g_ptr_array_unref(queue->requests);
	g_hash_table_unref(queue->by_name);
	g_free(queue);
}

void gh_queue_apply_document(gh_queue_t *queue, const gh_document_t *doc)
{
	size_t i;

	queue->policy = doc->policy;
	for (i = 0; i < queue->services->len; i++) {
		service_t *service = g_ptr_array_index(queue->services, i);

		service->in_document = false;
	}
	for (i = 0; i < doc->n_services; i++) {
		const gh_service_t *doc_service = &doc->services[i];
		const gh_department_t *doc_department =
			&doc->departments[doc_service->department];
		service_t *service = find_or_add_service(queue, doc_service);
		department_t *department;

		if (g_queue_is_empty(&service->waiting) && !service->in_flight)
			service->department = find_or_add_department(
				queue, doc_department->name);
		service->class = doc_service->class;
		service->in_document = true;
		department = get_department(queue, service);
		if (strcmp(department->name, doc_department->name) != 0)
			continue;
		department->weight = doc_department->weight;
		department->guarantee_percent =
			doc_department->guarantee_percent;
		department->limit_percent = doc_department->limit_percent;
	}
}

bool gh_queue_admit(const gh_queue_t *queue, const char *name, unsigned slots,
		    gh_time_t deadline, gh_time_t now, gh_error_kind_t *refusal,
		    int64_t *retry_after_ms)
{
	const service_t *service = find_service(queue, name);
	gh_time_t wait;

	*retry_after_ms = 0;
	if (!service || !service->in_document) {
		*refusal = GH_E_NO_SERVICE;
		return false;
	}
	wait = gh_queue_expected_wait(queue, name, slots);
	*retry_after_ms = gh_time_to_ms(wait) + MIN_RETRY_AFTER_MS;
	if (!has_queue_space(queue, get_department(queue, service), refusal))
		return false;
	*refusal = GH_E_DEADLINE_INFEASIBLE;
	return !misses_deadline(service,
				g_queue_is_empty((GQueue *)&service->waiting),
				wait, deadline, now);
}

gh_ticket_t gh_queue_push(gh_queue_t *queue, const char *name,
			  gh_time_t deadline, gh_time_t now)
{
	service_t *service = find_service(queue, name);
	request_t *request;

	if (!service || !service->in_document)
		return GH_NO_TICKET;
	request = allocate_request(queue);
	request->state = REQUEST_QUEUED;
	request->service =
		GPOINTER_TO_SIZE(g_hash_table_lookup(queue->by_name, name)) - 1;
	request->deadline = deadline;
	request->queued_at = now;
	g_queue_push_tail(&service->waiting, request);
	request->link = g_queue_peek_tail_link(&service->waiting);
	get_department(queue, service)->queued++;
	queue->queued++;
	return make_ticket(request);
}

gh_ticket_t gh_queue_dispatch_next(gh_queue_t *queue, unsigned slots,
				   gh_queue_can_run_t can_run, void *ctx,
				   gh_time_t now)
{
	service_t *best = NULL;
	rank_t best_rank = { 0 };
	request_t *request;
	size_t i;

	for (i = 0; i < queue->services->len; i++) {
		service_t *service = g_ptr_array_index(queue->services, i);
		rank_t rank;

		if (g_queue_is_empty(&service->waiting) ||
		    is_at_limit(get_department(queue, service), slots))
			continue;
		rank = make_rank(queue, service, slots, now);
		if (best && !goes_before(&rank, &best_rank))
			continue;
		if (is_long(queue, service) && is_at_long_limit(queue, slots))
			continue;
		if (!can_run(ctx, service->name, is_long(queue, service)))
			continue;
		best = service;
		best_rank = rank;
	}
	if (!best)
		return GH_NO_TICKET;
	request = g_queue_peek_head(&best->waiting);
	unlink_request(queue, request);
	request->state = REQUEST_DISPATCHED;
	request->is_long = is_long(queue, best);
	if (request->is_long)
		queue->long_in_flight++;
	get_department(queue, best)->in_flight++;
	best->in_flight++;
	best->last_dispatch = now;
	queue->dispatches++;
	return make_ticket(request);
}

gh_ticket_t gh_queue_remove_infeasible(gh_queue_t *queue, gh_time_t now)
{
	size_t i;

	for (i = 0; i < queue->services->len; i++) {
		service_t *service = g_ptr_array_index(queue->services, i);
		request_t *request = g_queue_peek_head(&service->waiting);
		gh_ticket_t ticket;

		if (!request ||
		    !misses_deadline(service, true, 0, request->deadline, now))
			continue;
		ticket = make_ticket(request);
		unlink_request(queue, request);
		release_request(queue, request);
		return ticket;
	}
	return GH_NO_TICKET;
}

bool gh_queue_cancel(gh_queue_t *queue, gh_ticket_t ticket)
{
	request_t *request = find_request(queue, ticket);

	if (!request || request->state != REQUEST_QUEUED)
		return false;
	unlink_request(queue, request);
	release_request(queue, request);
	return true;
}

void gh_queue_complete(gh_queue_t *queue, gh_ticket_t ticket, gh_time_t run)
{
	request_t *request = find_request(queue, ticket);
	service_t *service;

	if (!request || request->state != REQUEST_DISPATCHED)
		return;
	service = g_ptr_array_index(queue->services, request->service);
	get_department(queue, service)->in_flight--;
	service->in_flight--;
	if (request->is_long)
		queue->long_in_flight--;
	if (run > 0)
		update_run_time(service, run);
	release_request(queue, request);
}

gh_time_t gh_queue_run_time(const gh_queue_t *queue, const char *name)
{
	const service_t *service = find_service(queue, name);

	return service ? service->mean_run : 0;
}

gh_time_t gh_queue_run_time_bound(const gh_queue_t *queue, const char *name)
{
	const service_t *service = find_service(queue, name);

	return service ? service->mean_run +
				 BOUND_DEVIATIONS * service->deviation :
			 0;
}

bool gh_queue_is_long(const gh_queue_t *queue, const char *name)
{
	const service_t *service = find_service(queue, name);

	return service && is_long(queue, service);
}

gh_time_t gh_queue_expected_wait(const gh_queue_t *queue, const char *name,
				 unsigned slots)
{
	const service_t *service = find_service(queue, name);
	const department_t *department;
	unsigned guaranteed;
	gh_time_t wait;
	gh_time_t guaranteed_wait;

	if (!service || !slots)
		return 0;
	department = get_department(queue, service);
	guaranteed = percent_of(slots, department->guarantee_percent);
	wait = sum_queued_work(queue, service, false) / slots;
	if (!guaranteed)
		return wait;
	guaranteed_wait = sum_queued_work(queue, service, true) / guaranteed;
	return MIN(wait, guaranteed_wait);
}

size_t gh_queue_length(const gh_queue_t *queue)
{
	return queue->queued;
}

bool gh_queue_share(const gh_queue_t *queue, size_t index, unsigned slots,
		    gh_queue_share_t *share)
{
	const department_t *department;

	if (index >= queue->departments->len)
		return false;
	department = g_ptr_array_index(queue->departments, index);
	memset(share, 0, sizeof(*share));
	g_strlcpy(share->department, department->name,
		  sizeof(share->department));
	share->queued = department->queued;
	share->in_flight = department->in_flight;
	share->guaranteed = percent_of(slots, department->guarantee_percent);
	if (share->in_flight > share->guaranteed)
		share->borrowed = share->in_flight - share->guaranteed;
	return true;
}

static service_t *find_service(const gh_queue_t *queue, const char *name)
{
	size_t index =
		GPOINTER_TO_SIZE(g_hash_table_lookup(queue->by_name, name));

	return index ? g_ptr_array_index(queue->services, index - 1) : NULL;
}

static size_t find_or_add_department(gh_queue_t *queue, const char *name)
{
	department_t *department;
	size_t i;

	for (i = 0; i < queue->departments->len; i++) {
		department = g_ptr_array_index(queue->departments, i);
		if (!strcmp(department->name, name))
			return i;
	}
	department = g_new0(department_t, 1);
	g_strlcpy(department->name, name, sizeof(department->name));
	g_ptr_array_add(queue->departments, department);
	return queue->departments->len - 1;
}

static service_t *find_or_add_service(gh_queue_t *queue,
				      const gh_service_t *doc_service)
{
	service_t *service = find_service(queue, doc_service->name);

	if (service)
		return service;
	service = g_new0(service_t, 1);
	g_strlcpy(service->name, doc_service->name, sizeof(service->name));
	g_queue_init(&service->waiting);
	service->mean_run = gh_time_from_ms(doc_service->expected_ms);
	service->deviation = service->mean_run / 2;
	g_ptr_array_add(queue->services, service);
	g_hash_table_insert(queue->by_name, g_strdup(doc_service->name),
			    GSIZE_TO_POINTER(queue->services->len));
	return service;
}

static department_t *get_department(const gh_queue_t *queue,
				    const service_t *service)
{
	return g_ptr_array_index(queue->departments, service->department);
}

static request_t *find_request(const gh_queue_t *queue, gh_ticket_t ticket)
{
	size_t index = (size_t)(ticket >> 32);
	request_t *request;

	if (!index || index > queue->requests->len)
		return NULL;
	request = g_ptr_array_index(queue->requests, index - 1);
	return request->reuse_count == (uint32_t)ticket ? request : NULL;
}

static request_t *allocate_request(gh_queue_t *queue)
{
	request_t *request = g_queue_pop_head(&queue->free_requests);

	if (request)
		return request;
	request = g_new0(request_t, 1);
	request->index = queue->requests->len;
	g_ptr_array_add(queue->requests, request);
	return request;
}

static void unlink_request(gh_queue_t *queue, request_t *request)
{
	service_t *service =
		g_ptr_array_index(queue->services, request->service);

	g_queue_delete_link(&service->waiting, request->link);
	request->link = NULL;
	get_department(queue, service)->queued--;
	queue->queued--;
}

static void release_request(gh_queue_t *queue, request_t *request)
{
	request->state = REQUEST_FREE;
	request->reuse_count++;
	g_queue_push_head(&queue->free_requests, request);
}

static gh_ticket_t make_ticket(const request_t *request)
{
	return ((uint64_t)request->index + 1) << 32 | request->reuse_count;
}

/*
 * Whether the queue has space for one more request of the department.  Each
 * department has its guaranteed percentage of the queue reserved and may use at
 * most its limit percentage of it.
 */
static bool has_queue_space(const gh_queue_t *queue,
			    const department_t *department,
			    gh_error_kind_t *refusal)
{
	size_t max = (size_t)queue->policy.queue_max;
	size_t reserved = 0;
	size_t i;

	*refusal = GH_E_OVER_LIMIT;
	if (department->queued >=
	    MAX(1, max * department->limit_percent / PERCENT_FULL))
		return false;
	*refusal = GH_E_QUEUE_FULL;
	if (department->queued <
	    max * department->guarantee_percent / PERCENT_FULL)
		return queue->queued < max;
	for (i = 0; i < queue->departments->len; i++) {
		const department_t *other =
			g_ptr_array_index(queue->departments, i);

		reserved += MAX(other->queued,
				max * other->guarantee_percent / PERCENT_FULL);
	}
	return reserved < max;
}

static bool misses_deadline(const service_t *service, bool is_oldest,
			    gh_time_t wait, gh_time_t deadline, gh_time_t now)
{
	gh_time_t margin = 0;

	if (now + wait >= deadline)
		return true;
	if (is_oldest && !service->in_flight &&
	    now >= service->last_dispatch + RELEARN_INTERVAL_USEC)
		return false;
	if (service->samples >= MIN_SAMPLES)
		margin = margin_deviations[service->class] * service->deviation;
	return now + wait + service->mean_run + margin > deadline;
}

static bool is_at_limit(const department_t *department, unsigned slots)
{
	return department->in_flight >=
	       MAX(1, percent_of(slots, department->limit_percent));
}

static bool is_long(const gh_queue_t *queue, const service_t *service)
{
	return service->mean_run > gh_time_from_ms(queue->policy.long_ms);
}

static bool is_at_long_limit(const gh_queue_t *queue, unsigned slots)
{
	unsigned max =
		percent_of(slots, (unsigned)queue->policy.long_slots_percent);

	return queue->long_in_flight >= MAX(1, max);
}

static unsigned percent_of(unsigned amount, unsigned percent)
{
	return amount * percent / PERCENT_FULL;
}

static rank_t make_rank(const gh_queue_t *queue, const service_t *service,
			unsigned slots, gh_time_t now)
{
	const department_t *department = get_department(queue, service);
	const request_t *oldest =
		g_queue_peek_head((GQueue *)&service->waiting);
	gh_time_t aged_at =
		oldest->queued_at + gh_time_from_ms(queue->policy.batch_age_ms);
	bool is_batch = service->class == GH_CLASS_BATCH;
	bool is_aged = is_batch && now >= aged_at &&
		       queue->dispatches % AGED_DISPATCH_INTERVAL == 0;

	return (rank_t){
		.above_guarantee =
			department->in_flight >=
			percent_of(slots, department->guarantee_percent),
		.is_batch = is_batch && !is_aged,
		.in_flight_per_weight_milli = department->in_flight * 1000 /
					      MAX(1, department->weight),
		.is_aged = is_aged,
		.mean_run = service->mean_run,
		.queued_at = oldest->queued_at,
	};
}

static bool goes_before(const rank_t *a, const rank_t *b)
{
	if (a->above_guarantee != b->above_guarantee)
		return !a->above_guarantee;
	if (a->is_batch != b->is_batch)
		return !a->is_batch;
	if (a->in_flight_per_weight_milli != b->in_flight_per_weight_milli)
		return a->in_flight_per_weight_milli <
		       b->in_flight_per_weight_milli;
	if (a->is_aged != b->is_aged)
		return a->is_aged;
	if (a->mean_run != b->mean_run)
		return a->mean_run < b->mean_run;
	return a->queued_at < b->queued_at;
}

/*
 * Sum of the expected run times of the queued requests that go before a new
 * request of the service.  Batch requests don't delay latency-critical ones.
 */
static gh_time_t sum_queued_work(const gh_queue_t *queue,
				 const service_t *service, bool own_only)
{
	gh_time_t sum = 0;
	size_t i;

	for (i = 0; i < queue->services->len; i++) {
		const service_t *other = g_ptr_array_index(queue->services, i);

		if (own_only && other->department != service->department)
			continue;
		if (service->class == GH_CLASS_LATENCY &&
		    other->class == GH_CLASS_BATCH)
			continue;
		sum += g_queue_get_length((GQueue *)&other->waiting) *
		       other->mean_run;
	}
	return sum;
}

static void update_run_time(service_t *service, gh_time_t run)
{
	gh_time_t difference = run - service->mean_run;

	service->samples++;
	service->mean_run += difference / RUN_GAIN_DIVISOR;
	service->deviation +=
		(ABS(difference) - service->deviation) / DEVIATION_GAIN_DIVISOR;
}

static void free_service(void *arg)
{
	service_t *service = arg;

	g_queue_clear(&service->waiting);
	g_free(service);
}
