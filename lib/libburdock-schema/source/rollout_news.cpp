#include <burdock/schema/rollout_news.hpp>

#include <algorithm>

namespace burdock::schema {

namespace {

constexpr u32 MaxState = static_cast<u32>(rollout::OrderState::Reverted);
/** Limits to what one message may contain. Counts beyond the first are left out when a message is made. */
constexpr int MaxCells = 32;
constexpr int MaxBroken = 16;
/** Longer times are refused. */
constexpr u64 MaxTimeUs = u64{1} << 60U;

} // namespace

RolloutNews toMessage(u64 order, const rollout::OrderNews &news)
{
    RolloutNews message;
    message.set_order(order);
    message.set_state(static_cast<u32>(news.state));
    message.set_known_for_us(static_cast<u64>(std::max<i64>(0, news.knownFor.count())));
    if (news.word) {
        auto *word = message.mutable_word();
        word->set_leader_boot_id(news.word->holderBootId);
        word->set_token(news.word->token);
        word->set_told_at_us(static_cast<u64>(news.word->toldAt.count()));
    }
    for (const auto &[cell, counts] : news.evidence) {
        if (message.counts_size() >= MaxCells) {
            break;
        }
        auto *out = message.add_counts();
        out->set_route(cell.first);
        out->set_target(cell.second == rollout::Side::Target);
        out->set_answers(counts.answers);
        out->set_failures(counts.failures);
        out->set_timed(counts.timed);
        out->set_slow(counts.slow);
        for (const auto replica : counts.broken) {
            if (out->broken_size() < MaxBroken) {
                out->add_broken(replica);
            }
        }
    }
    return message;
}

std::optional<rollout::OrderNews> toNews(const RolloutNews &message)
{
    const bool hasTooMany = message.counts_size() > MaxCells
        || std::any_of(message.counts().begin(), message.counts().end(),
                       [](const auto &counts) { return counts.broken_size() > MaxBroken; });
    const bool isTimeImpossible = message.known_for_us() > MaxTimeUs || (message.has_word() && message.word().told_at_us() > MaxTimeUs);
    if (hasTooMany || isTimeImpossible || message.state() > MaxState) {
        return std::nullopt;
    }
    rollout::OrderNews news;
    news.state = static_cast<rollout::OrderState>(message.state());
    news.knownFor = Duration(static_cast<i64>(message.known_for_us()));
    if (message.has_word()) {
        const auto &word = message.word();
        news.word = rollout::UndecidedWord{word.leader_boot_id(), word.token(), Duration(static_cast<i64>(word.told_at_us()))};
    }
    for (const auto &counts : message.counts()) {
        const auto side = counts.target() ? rollout::Side::Target : rollout::Side::Others;
        rollout::VersionCounts values{counts.answers(), counts.failures(), counts.timed(), counts.slow(), {}};
        values.broken.insert(counts.broken().begin(), counts.broken().end());
        news.evidence[{counts.route(), side}].takeGreater(values);
    }
    return news;
}

} // namespace burdock::schema
