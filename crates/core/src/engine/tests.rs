use super::guarded;

#[test]
fn a_panic_in_the_module_becomes_text_without_line_breaks() {
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
