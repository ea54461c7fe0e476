#include "core_queue.h"

#include <string.h>

#define RUN_WEIGHT 8	/* of the past against one new run time */
#define SPREAD_WEIGHT 4 /* the same for its deviation */
#define SPREAD_BOUND 4	/* deviations above the mean that few exceed */
#define LEAST_SAMPLES 8 /* run times before their spread is believed */
#define PERCENT 100
/*
 * A service that had nothing dispatched for this long gets one request
 * through whatever was learned, so that a wrong estimate can't last.
 */
#define RELEARN_AFTER GH_USEC_PER_SEC
#define LEAST_RETRY_MS 10
#define AGED_TURN 4 /* one dispatch in so many prefers aged batch work */

/* Deviations above the mean that have to fit before a deadline. */
static const gh_time_t deviations[GH_CLASS_COUNT] = {
	[GH_CLASS_LATENCY] = SPREAD_BOUND,
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
	GQueue line; /* of item_t, oldest first */
	gh_time_t run;
	gh_time_t spread;
	unsigned samples;
	gh_time_t last_dispatch;
	unsigned in_flight;
} service_t;

typedef enum item_state {
	ITEM_FREE,
	ITEM_QUEUED,
	ITEM_DISPATCHED
} item_state_t;

typedef struct item {
	item_state_t state;
	uint32_t round; /* tells reuses of the place apart */
	size_t index;
	size_t service;
	bool is_long; /* when it was dispatched */
	gh_time_t deadline;
	gh_time_t since;
	GList *link;
} item_t;

struct gh_queue {
	gh_policy_t policy;
	GPtrArray *departments; /* of department_t; indices are stable */
	GPtrArray *services;	/* of service_t; indices are stable */
	GHashTable *by_name;	/* service name to index + 1 */
	GPtrArray *items;	/* of item_t */
	GQueue unused;		/* of item_t */
	size_t queued;
	unsigned long_in_flight;
	unsigned turn; /* dispatches */
};

/* What decides between two lines; the lower goes first. */
typedef struct rank {
	bool above_guarantee;
	bool is_batch; /* that doesn't rank with latency-critical work */
	unsigned held; /* slots for the weight, in thousandths */
	bool is_aged;
	gh_time_t run;
	gh_time_t since;
} rank_t;

static service_t *find(const gh_queue_t *queue, const char *name);
static size_t find_department(gh_queue_t *queue, const char *name);
static service_t *find_or_add(gh_queue_t *queue, const gh_service_t *from);
static department_t *department_of(const gh_queue_t *queue,
				   const service_t *service);
static item_t *item_of(const gh_queue_t *queue, gh_ticket_t ticket);
static item_t *new_item(gh_queue_t *queue);
static void leave_line(gh_queue_t *queue, item_t *item);
static void free_item(gh_queue_t *queue, item_t *item);
static gh_ticket_t ticket_of(const item_t *item);
static bool has_room(const gh_queue_t *queue, const department_t *department,
		     gh_error_kind_t *refusal);
static bool is_hopeless(const service_t *service, bool first, gh_time_t wait,
			gh_time_t deadline, gh_time_t now);
static bool at_limit(const department_t *department, unsigned slots);
static bool is_long(const gh_queue_t *queue, const service_t *service);
static bool at_long_limit(const gh_queue_t *queue, unsigned slots);
static unsigned part(unsigned amount, unsigned percent);
static rank_t rank_of(const gh_queue_t *queue, const service_t *service,
		      unsigned slots, gh_time_t now);
static bool goes_before(const rank_t *a, const rank_t *b);
static gh_time_t work_before(const gh_queue_t *queue, const service_t *service,
			     bool own_only);
static void learn(service_t *service, gh_time_t run);
static void free_service(void *arg);

gh_queue_t *gh_queue_new(void)
{
	gh_queue_t *queue = g_new0(gh_queue_t, 1);

	queue->departments = g_ptr_array_new_with_free_func(g_free);
	queue->services = g_ptr_array_new_with_free_func(free_service);
	queue->items = g_ptr_array_new_with_free_func(g_free);
	queue->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&queue->unused);
	return queue;
}

void gh_queue_free(gh_queue_t *queue)
{
	if (!queue)
		return;
	g_queue_clear(&queue->unused);
	g_ptr_array_unref(queue->departments);
	g_ptr_array_unref(queue->services);
	g_ptr_array_unref(queue->items);
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
		const gh_service_t *from = &doc->services[i];
		const gh_department_t *owner =
			&doc->departments[from->department];
		service_t *service = find_or_add(queue, from);
		department_t *department;

		if (g_queue_is_empty(&service->line) && !service->in_flight)
			service->department =
				find_department(queue, owner->name);
		service->class = from->class;
		service->in_document = true;
		department = department_of(queue, service);
		if (strcmp(department->name, owner->name) != 0)
			continue;
		department->weight = owner->weight;
		department->guarantee_percent = owner->guarantee_percent;
		department->limit_percent = owner->limit_percent;
	}
}

bool gh_queue_admit(const gh_queue_t *queue, const char *name, unsigned slots,
		    gh_time_t deadline, gh_time_t now, gh_error_kind_t *refusal,
		    int64_t *retry_after_ms)
{
	const service_t *service = find(queue, name);
	gh_time_t wait;

	*retry_after_ms = 0;
	if (!service || !service->in_document) {
		*refusal = GH_E_NO_SERVICE;
		return false;
	}
	wait = gh_queue_expected_wait(queue, name, slots);
	*retry_after_ms = gh_time_to_ms(wait) + LEAST_RETRY_MS;
	if (!has_room(queue, department_of(queue, service), refusal))
		return false;
	*refusal = GH_E_HOPELESS;
	return !is_hopeless(service, g_queue_is_empty((GQueue *)&service->line),
			    wait, deadline, now);
}

gh_ticket_t gh_queue_push(gh_queue_t *queue, const char *name,
			  gh_time_t deadline, gh_time_t now)
{
	service_t *service = find(queue, name);
	item_t *item;

	if (!service || !service->in_document)
		return GH_NO_TICKET;
	item = new_item(queue);
	item->state = ITEM_QUEUED;
	item->service =
		GPOINTER_TO_SIZE(g_hash_table_lookup(queue->by_name, name)) - 1;
	item->deadline = deadline;
	item->since = now;
	g_queue_push_tail(&service->line, item);
	item->link = g_queue_peek_tail_link(&service->line);
	department_of(queue, service)->queued++;
	queue->queued++;
	return ticket_of(item);
}

gh_ticket_t gh_queue_dispatch_next(gh_queue_t *queue, unsigned slots,
				   gh_queue_can_run_t can_run, void *ctx,
				   gh_time_t now)
{
	service_t *best = NULL;
	rank_t best_rank = { 0 };
	item_t *item;
	size_t i;

	for (i = 0; i < queue->services->len; i++) {
		service_t *service = g_ptr_array_index(queue->services, i);
		rank_t rank;

		if (g_queue_is_empty(&service->line) ||
		    at_limit(department_of(queue, service), slots))
			continue;
		rank = rank_of(queue, service, slots, now);
		if (best && !goes_before(&rank, &best_rank))
			continue;
		if (is_long(queue, service) && at_long_limit(queue, slots))
			continue;
		if (!can_run(ctx, service->name, is_long(queue, service)))
			continue;
		best = service;
		best_rank = rank;
	}
	if (!best)
		return GH_NO_TICKET;
	item = g_queue_peek_head(&best->line);
	leave_line(queue, item);
	item->state = ITEM_DISPATCHED;
	item->is_long = is_long(queue, best);
	if (item->is_long)
		queue->long_in_flight++;
	department_of(queue, best)->in_flight++;
	best->in_flight++;
	best->last_dispatch = now;
	queue->turn++;
	return ticket_of(item);
}

gh_ticket_t gh_queue_remove_infeasible(gh_queue_t *queue, gh_time_t now)
{
	size_t i;

	for (i = 0; i < queue->services->len; i++) {
		service_t *service = g_ptr_array_index(queue->services, i);
		item_t *item = g_queue_peek_head(&service->line);
		gh_ticket_t ticket;

		if (!item ||
		    !is_hopeless(service, true, 0, item->deadline, now))
			continue;
		ticket = ticket_of(item);
		leave_line(queue, item);
		free_item(queue, item);
		return ticket;
	}
	return GH_NO_TICKET;
}

bool gh_queue_cancel(gh_queue_t *queue, gh_ticket_t ticket)
{
	item_t *item = item_of(queue, ticket);

	if (!item || item->state != ITEM_QUEUED)
		return false;
	leave_line(queue, item);
	free_item(queue, item);
	return true;
}

void gh_queue_complete(gh_queue_t *queue, gh_ticket_t ticket, gh_time_t run)
{
	item_t *item = item_of(queue, ticket);
	service_t *service;

	if (!item || item->state != ITEM_DISPATCHED)
		return;
	service = g_ptr_array_index(queue->services, item->service);
	department_of(queue, service)->in_flight--;
	service->in_flight--;
	if (item->is_long)
		queue->long_in_flight--;
	if (run > 0)
		learn(service, run);
	free_item(queue, item);
}

gh_time_t gh_queue_run_time(const gh_queue_t *queue, const char *name)
{
	const service_t *service = find(queue, name);

	return service ? service->run : 0;
}

gh_time_t gh_queue_run_time_bound(const gh_queue_t *queue, const char *name)
{
	const service_t *service = find(queue, name);

	return service ? service->run + SPREAD_BOUND * service->spread : 0;
}

bool gh_queue_is_long(const gh_queue_t *queue, const char *name)
{
	const service_t *service = find(queue, name);

	return service && is_long(queue, service);
}

gh_time_t gh_queue_expected_wait(const gh_queue_t *queue, const char *name,
				 unsigned slots)
{
	const service_t *service = find(queue, name);
	const department_t *department;
	unsigned guaranteed;
	gh_time_t all;
	gh_time_t own;

	if (!service || !slots)
		return 0;
	department = department_of(queue, service);
	guaranteed = part(slots, department->guarantee_percent);
	all = work_before(queue, service, false) / slots;
	if (!guaranteed)
		return all;
	own = work_before(queue, service, true) / guaranteed;
	return MIN(all, own);
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
	share->guaranteed = part(slots, department->guarantee_percent);
	if (share->in_flight > share->guaranteed)
		share->borrowed = share->in_flight - share->guaranteed;
	return true;
}

static service_t *find(const gh_queue_t *queue, const char *name)
{
	size_t index =
		GPOINTER_TO_SIZE(g_hash_table_lookup(queue->by_name, name));

	return index ? g_ptr_array_index(queue->services, index - 1) : NULL;
}

static size_t find_department(gh_queue_t *queue, const char *name)
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

static service_t *find_or_add(gh_queue_t *queue, const gh_service_t *from)
{
	service_t *service = find(queue, from->name);

	if (service)
		return service;
	service = g_new0(service_t, 1);
	g_strlcpy(service->name, from->name, sizeof(service->name));
	g_queue_init(&service->line);
	service->run = gh_time_from_ms(from->expected_ms);
	service->spread = service->run / 2;
	g_ptr_array_add(queue->services, service);
	g_hash_table_insert(queue->by_name, g_strdup(from->name),
			    GSIZE_TO_POINTER(queue->services->len));
	return service;
}

static department_t *department_of(const gh_queue_t *queue,
				   const service_t *service)
{
	return g_ptr_array_index(queue->departments, service->department);
}

static item_t *item_of(const gh_queue_t *queue, gh_ticket_t ticket)
{
	size_t place = (size_t)(ticket >> 32);
	item_t *item;

	if (!place || place > queue->items->len)
		return NULL;
	item = g_ptr_array_index(queue->items, place - 1);
	return item->round == (uint32_t)ticket ? item : NULL;
}

static item_t *new_item(gh_queue_t *queue)
{
	item_t *item = g_queue_pop_head(&queue->unused);

	if (item)
		return item;
	item = g_new0(item_t, 1);
	item->index = queue->items->len;
	g_ptr_array_add(queue->items, item);
	return item;
}

static void leave_line(gh_queue_t *queue, item_t *item)
{
	service_t *service = g_ptr_array_index(queue->services, item->service);

	g_queue_delete_link(&service->line, item->link);
	item->link = NULL;
	department_of(queue, service)->queued--;
	queue->queued--;
}

static void free_item(gh_queue_t *queue, item_t *item)
{
	item->state = ITEM_FREE;
	item->round++;
	g_queue_push_head(&queue->unused, item);
}

static gh_ticket_t ticket_of(const item_t *item)
{
	return ((uint64_t)item->index + 1) << 32 | item->round;
}

/*
 * A department's guaranteed part of the queue is kept free for it; no
 * department may fill more than its limit.
 */
static bool has_room(const gh_queue_t *queue, const department_t *department,
		     gh_error_kind_t *refusal)
{
	size_t max = (size_t)queue->policy.queue_max;
	size_t kept = 0;
	size_t i;

	*refusal = GH_E_OVER_LIMIT;
	if (department->queued >=
	    MAX(1, max * department->limit_percent / PERCENT))
		return false;
	*refusal = GH_E_QUEUE_FULL;
	if (department->queued < max * department->guarantee_percent / PERCENT)
		return queue->queued < max;
	for (i = 0; i < queue->departments->len; i++) {
		const department_t *other =
			g_ptr_array_index(queue->departments, i);

		kept += MAX(other->queued,
			    max * other->guarantee_percent / PERCENT);
	}
	return kept < max;
}

static bool is_hopeless(const service_t *service, bool first, gh_time_t wait,
			gh_time_t deadline, gh_time_t now)
{
	gh_time_t margin = 0;

	if (now + wait >= deadline)
		return true;
	if (first && !service->in_flight &&
	    now >= service->last_dispatch + RELEARN_AFTER)
		return false;
	if (service->samples >= LEAST_SAMPLES)
		margin = deviations[service->class] * service->spread;
	return now + wait + service->run + margin > deadline;
}

static bool at_limit(const department_t *department, unsigned slots)
{
	return department->in_flight >=
	       MAX(1, part(slots, department->limit_percent));
}

static bool is_long(const gh_queue_t *queue, const service_t *service)
{
	return service->run > gh_time_from_ms(queue->policy.long_ms);
}

static bool at_long_limit(const gh_queue_t *queue, unsigned slots)
{
	unsigned most = part(slots, (unsigned)queue->policy.long_slots_percent);

	return queue->long_in_flight >= MAX(1, most);
}

static unsigned part(unsigned amount, unsigned percent)
{
	return amount * percent / PERCENT;
}

static rank_t rank_of(const gh_queue_t *queue, const service_t *service,
		      unsigned slots, gh_time_t now)
{
	const department_t *department = department_of(queue, service);
	const item_t *head = g_queue_peek_head((GQueue *)&service->line);
	gh_time_t aged =
		head->since + gh_time_from_ms(queue->policy.batch_age_ms);
	bool is_batch = service->class == GH_CLASS_BATCH;
	bool is_aged = is_batch && now >= aged && queue->turn % AGED_TURN == 0;

	return (rank_t){
		.above_guarantee = department->in_flight >=
				   part(slots, department->guarantee_percent),
		.is_batch = is_batch && !is_aged,
		.held = department->in_flight * 1000 /
			MAX(1, department->weight),
		.is_aged = is_aged,
		.run = service->run,
		.since = head->since,
	};
}

static bool goes_before(const rank_t *a, const rank_t *b)
{
	if (a->above_guarantee != b->above_guarantee)
		return !a->above_guarantee;
	if (a->is_batch != b->is_batch)
		return !a->is_batch;
	if (a->held != b->held)
		return a->held < b->held;
	if (a->is_aged != b->is_aged)
		return a->is_aged;
	if (a->run != b->run)
		return a->run < b->run;
	return a->since < b->since;
}

/* Work that is expected to run before a new request of the service. */
static gh_time_t work_before(const gh_queue_t *queue, const service_t *service,
			     bool own_only)
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
		sum += g_queue_get_length((GQueue *)&other->line) * other->run;
	}
	return sum;
}

static void learn(service_t *service, gh_time_t run)
{
	gh_time_t off = run - service->run;

	service->samples++;
	service->run += off / RUN_WEIGHT;
	service->spread += (ABS(off) - service->spread) / SPREAD_WEIGHT;
}

static void free_service(void *arg)
{
	service_t *service = arg;

	g_queue_clear(&service->line);
	g_free(service);
}
