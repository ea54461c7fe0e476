#include "error.h"

#include <stdarg.h>
#include <string.h>

typedef struct kind_info {
	const char *name;
	const char *remedy;
	gh_ran_t ran;
	int status;
} kind_info_t;

static const kind_info_t kind_infos[GH_E_COUNT] = {
#define GH_ERROR_KIND(kind, name_, ran_, status_, remedy_) \
	[GH_E_##kind] = { .name = name_,                   \
			  .remedy = remedy_,               \
			  .ran = GH_RAN_##ran_,            \
			  .status = status_ },
#include "error_list.h"
#undef GH_ERROR_KIND
};

GQuark gh_error_quark(void)
{
	return g_quark_from_static_string("geraniumhoist");
}

const char *gh_error_name(gh_error_kind_t kind)
{
	return kind_infos[kind].name;
}

int gh_error_status(gh_error_kind_t kind)
{
	return kind_infos[kind].status;
}

gh_ran_t gh_error_ran(gh_error_kind_t kind)
{
	return kind_infos[kind].ran;
}

const char *gh_error_remedy(gh_error_kind_t kind)
{
	return kind_infos[kind].remedy;
}

gh_error_kind_t gh_error_by_name(const char *name)
{
	int i;

	for (i = 0; i < GH_E_COUNT; i++)
		if (!strcmp(kind_infos[i].name, name))
			break;
	return (gh_error_kind_t)i;
}

gh_error_kind_t gh_error_kind(const GError *err)
{
	if (err->domain != GH_ERROR || err->code < 0 || err->code >= GH_E_COUNT)
		return GH_E_SYSTEM;
	return (gh_error_kind_t)err->code;
}

void gh_error_set(GError **err, gh_error_kind_t kind, const char *fmt, ...)
{
	va_list ap;
	char *message;

	if (!err)
		return;
	va_start(ap, fmt);
	message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_clear_error(err);
	g_set_error(err, GH_ERROR, (int)kind, "%s; %s", message,
		    kind_infos[kind].remedy);
	g_free(message);
}
