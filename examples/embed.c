/*
 * Example that embeds the lease and credit modules of libgeraniumhoist: it
 * acquires the lease of a shard without an owner, then takes a slot credit of
 * an executor.
 */
#include <stdio.h>
#include <string.h>

#include "core_credit.h"
#include "core_lease.h"

static const char document[] =
	"[domain bole]\n"
	"[entry e1]\ndomain=bole\naddress=127.0.0.1\n"
	"front_port=8080\nconsole_port=8081\npeer_port=8082\n"
	"[executor x1]\ndomain=bole\naddress=127.0.0.2:9000\nslots=8\n";

int main(void)
{
	const gh_lease_rule_t rule = { .self = "e1",
				       .lease_ms = 4000,
				       .clock_bound_ms = 200 };
	const gh_now_t now = { .boot = GH_USEC_PER_SEC, .wall_ms = 1000 };
	const gh_time_t later = 3600 * GH_USEC_PER_SEC;
	gh_lease_t record = { .epoch = 0 };
	gh_lease_view_t view = { .known = false };
	gh_credit_t *credit = gh_credit_new("e1", now.boot);
	gh_document_t *doc =
		gh_document_parse(document, strlen(document), 1, NULL);
	gh_credit_hold_t hold;

	gh_lease_see(&view, &record, &rule, &now);
	if (gh_lease_decide(&view, &rule, 0, &now) == GH_LEASE_TAKE) {
		record = gh_lease_next(&view, GH_LEASE_TAKE, &rule, &now);
		gh_lease_won(&view, &record, &rule, &now);
	}
	gh_credit_apply(credit, doc, now.boot);
	hold = gh_credit_take(credit, "x1", later);
	printf("epoch %d, lease %s, slot %s, %u free\n", (int)record.epoch,
	       gh_lease_valid(&view, now.boot) ? "valid" : "lost",
	       hold != GH_CREDIT_NO_HOLD ? "taken" : "refused",
	       gh_credit_view(credit, "x1", later).free);
	gh_credit_done(credit, hold);
	gh_credit_free(credit);
	gh_document_unref(doc);
	return 0;
}
