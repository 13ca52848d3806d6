// State transitions of a cascade.

#include "core/versions/cascade.h"

#include <algorithm>

namespace fireflyroute::core {

namespace {

// Whether the left answer is worse than the right one, which is later. An unrated later answer
// comes from a more capable version, so it ranks above an earlier answer that was rated low. Of
// equally rated answers the later one is preferred.
bool isWorse(const std::optional<double> &left, const std::optional<double> &right)
{
    return !right || (left && *left <= *right);
}

} // namespace

CascadeAction Cascade::deliverBest() const
{
    if (answers_.empty())
        return CascadeAction{.kind = CascadeActionKind::Fail, .step = current_};
    const Answer *best = &answers_.front();
    for (const Answer &answer : answers_) {
        if (isWorse(best->rating, answer.rating))
            best = &answer;
    }
    return CascadeAction{.kind = CascadeActionKind::Deliver, .step = best->step};
}

CascadeAction Cascade::onAnswer(Instant now)
{
    answers_.push_back(Answer{.step = current_});
    const bool needsRating = sampled_ || isUncertain(plan_.steps[current_]);
    if (!hasNext() || !needsRating)
        return deliverBest();
    return CascadeAction{.kind = CascadeActionKind::AwaitRating,
                         .step = current_,
                         .deadline = now + policy_.ratingTimeout};
}

CascadeAction Cascade::onRating(double rating, EscalationBudget &budget)
{
    answers_.back().rating = rating;
    const bool isLow = rating < plan_.steps[current_].qualityTarget - policy_.escalationMargin;
    if (!isLow || !hasNext() || !budget.trySpend())
        return deliverBest();
    ++current_;
    return CascadeAction{.kind = CascadeActionKind::Run, .step = current_};
}

CascadeAction Cascade::onFailure()
{
    if (!answers_.empty() || !hasNext())
        return deliverBest();
    ++current_;
    return CascadeAction{.kind = CascadeActionKind::Run, .step = current_};
}

CascadeAction Cascade::step(const CascadeInput &input, Instant now, EscalationBudget &budget)
{
    if (std::holds_alternative<CascadeStarted>(input)) {
        budget.recordFirstAttempt();
        return CascadeAction{.kind = CascadeActionKind::Run, .step = current_};
    }
    if (std::holds_alternative<CascadeAnswered>(input))
        return onAnswer(now);
    if (std::holds_alternative<CascadeFailed>(input))
        return onFailure();
    const auto *rating = std::get_if<CascadeRated>(&input);
    if (!rating || answers_.empty())
        return deliverBest();
    return onRating(rating->rating, budget);
}

} // namespace fireflyroute::core
