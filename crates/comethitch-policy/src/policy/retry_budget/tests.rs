use super::RetryBudget;

#[test]
fn five_requests_pay_for_one_retry() {
    let mut budget = RetryBudget::full();
    while budget.allows_retry() {
        budget.withdraw();
    }
    for _ in 0..5 {
        assert!(!budget.allows_retry());
        budget.deposit();
    }
    assert!(budget.allows_retry());
}

#[test]
fn hedging_needs_more_than_half_of_the_budget() {
    let mut budget = RetryBudget::full();
    for _ in 0..8 {
        assert!(budget.allows_hedging());
        budget.withdraw();
    }
    assert!(!budget.allows_hedging());
    assert!(budget.allows_retry());
}
