use super::guarded;

#[test]
fn a_panic_in_the_module_becomes_one_line_of_text() {
    assert_eq!(guarded(|| ()), Ok(()));
    assert_eq!(
        guarded(|| panic!("two\nlines")),
        Err("two lines".to_string())
    );
    assert_eq!(
        guarded(|| panic!("worker {}", 7)),
        Err("worker 7".to_string())
    );
}
